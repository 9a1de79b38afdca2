#include "LibPeer/RefusalCounter.h"

namespace bergamothook {

std::optional<std::uint64_t> RefusalCounter::count(std::error_code Reason,
                                                   TimePoint Now) {
  bool IsPeerError =
      Reason.category() == make_error_code(PeerError::Malformed).category();
  Entry &Counter = this->Entries[IsPeerError ? Reason.value() : 0];
  ++Counter.Total;
  ++Counter.Unreported;
  if (Counter.LastReport && Now - *Counter.LastReport < this->ReportInterval)
    return std::nullopt;
  Counter.LastReport = Now;
  return std::exchange(Counter.Unreported, 0);
}

std::uint64_t RefusalCounter::total(PeerError Reason) const {
  return this->Entries[static_cast<std::size_t>(Reason)].Total;
}

std::uint64_t RefusalCounter::total() const {
  std::uint64_t Sum = 0;
  for (const auto &Counter : this->Entries)
    Sum += Counter.Total;
  return Sum;
}

} // namespace bergamothook
