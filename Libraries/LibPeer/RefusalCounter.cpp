#include "LibPeer/RefusalCounter.h"

namespace bergamothook {

std::optional<std::uint64_t> RefusalCounter::count(std::error_code Reason,
                                                   TimePoint Now) {
  bool IsPeerError =
      Reason.category() == make_error_code(PeerError::Malformed).category();
  Entry &Counted = this->Entries[IsPeerError ? Reason.value() : 0];
  ++Counted.Total;
  ++Counted.Unreported;
  if (Counted.LastReport && Now - *Counted.LastReport < this->ReportInterval)
    return std::nullopt;
  Counted.LastReport = Now;
  return std::exchange(Counted.Unreported, 0);
}

std::uint64_t RefusalCounter::total(PeerError Reason) const {
  return this->Entries[static_cast<std::size_t>(Reason)].Total;
}

std::uint64_t RefusalCounter::total() const {
  std::uint64_t Sum = 0;
  for (const auto &Counted : this->Entries)
    Sum += Counted.Total;
  return Sum;
}

} // namespace bergamothook
