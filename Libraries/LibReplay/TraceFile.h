/// \file
/// Reads and writes recorded traces: JSON lines, described in docs/TRACES.md.

#ifndef BERGAMOTHOOK_LIBREPLAY_TRACEFILE_H
#define BERGAMOTHOOK_LIBREPLAY_TRACEFILE_H

#include "LibBase/Result.h"
#include "LibReplay/Scenario.h"

#include <istream>
#include <ostream>

namespace bergamothook {

enum class TraceError {
  /// A line is not a JSON object, or one of its fields has the wrong type.
  MalformedLine = 1,
  /// The type of a line is unknown.
  UnknownType,
  /// A name of a fault, step, kind or outcome is unknown.
  UnknownName,
  /// A fault refers to a request that the trace does not contain.
  UnknownRequest,
  /// The trace contains no request, or no hosts, engines or runners.
  Empty,
};

std::error_code make_error_code(TraceError Value);

/// Reads a trace. \p LineNumber receives the 1-based number of the last line
/// read, which is the invalid one if a line can't be parsed.
Result<Scenario> readTrace(std::istream &In, std::size_t &LineNumber);

/// Writes one request as a line. A recording router writes one per completed
/// request, with the outcome it returned in Expected.
void writeTraceRequest(std::ostream &Out, const ScenarioRequest &Request);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::TraceError> : std::true_type {};

#endif
