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
  /// A line is no JSON object, or a field of it has the wrong type.
  MalformedLine = 1,
  /// A line is of an unknown type.
  UnknownType,
  /// A name of a fault, step, kind or outcome is unknown.
  UnknownName,
  /// A fault names a request that the trace does not have.
  UnknownRequest,
  /// The trace has no request.
  Empty,
};

std::error_code make_error_code(TraceError Value);

/// Reads a whole trace. \p Line receives the number of the last line that was
/// read, from 1: the one at fault where the trace can't be read.
Result<Scenario> readTrace(std::istream &In, std::size_t &Line);

/// Writes one request as a line. A router that records writes one for each
/// request that it answered; Expected holds what it answered.
void writeTraceRequest(std::ostream &Out, const ScenarioRequest &Request);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::TraceError> : std::true_type {};

#endif
