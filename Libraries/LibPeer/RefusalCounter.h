/// \file
/// Counts refused messages, and tells of them at a bounded rate.

#ifndef BERGAMOTHOOK_LIBPEER_REFUSALCOUNTER_H
#define BERGAMOTHOOK_LIBPEER_REFUSALCOUNTER_H

#include "LibBase/Time.h"
#include "LibPeer/PeerError.h"

#include <array>
#include <cstdint>
#include <optional>
#include <utility>

namespace bergamothook {

/// Counts refusals by their reason. Each reason is reported at once when it
/// first occurs, and then at most once an interval with what came meanwhile.
class RefusalCounter {
public:
  explicit RefusalCounter(Duration ReportInterval)
      : ReportInterval(ReportInterval) {}

  /// Counts one refusal. \returns how many to report now, if any.
  std::optional<std::uint64_t> count(std::error_code Reason, TimePoint Now);

  /// The refusals of \p Reason so far.
  std::uint64_t total(PeerError Reason) const;

  /// All refusals so far.
  std::uint64_t total() const;

private:
  struct Entry {
    std::uint64_t Total = 0;
    std::uint64_t Unreported = 0;
    std::optional<TimePoint> LastReport;
  };

  Duration ReportInterval;
  /// By the number of the reason; those of other categories are at 0.
  std::array<Entry, PeerErrorCount + 1> Entries;
};

} // namespace bergamothook

#endif
