/// \file
/// Counts refused messages, and limits the rate of their reports.

#ifndef BERGAMOTHOOK_LIBPEER_REFUSALCOUNTER_H
#define BERGAMOTHOOK_LIBPEER_REFUSALCOUNTER_H

#include "LibBase/Time.h"
#include "LibPeer/PeerError.h"

#include <array>
#include <cstdint>
#include <optional>
#include <utility>

namespace bergamothook {

/// Counts refusals by reason. The first refusal for a reason is reported
/// immediately; after that, each reason is reported at most once per interval,
/// with the number of refusals since its last report.
class RefusalCounter {
public:
  explicit RefusalCounter(Duration ReportInterval)
      : ReportInterval(ReportInterval) {}

  /// Counts one refusal. \returns the number of refusals to report now, if any.
  std::optional<std::uint64_t> count(std::error_code Reason, TimePoint Now);

  std::uint64_t total(PeerError Reason) const;

  /// The refusals for all reasons.
  std::uint64_t total() const;

private:
  struct Entry {
    std::uint64_t Total = 0;
    std::uint64_t Unreported = 0;
    std::optional<TimePoint> LastReport;
  };

  Duration ReportInterval;
  /// Indexed by PeerError. Index 0 counts errors of other categories.
  std::array<Entry, PeerErrorCount + 1> Entries;
};

} // namespace bergamothook

#endif
