#include "LibMembership/TargetNotices.h"

namespace bergamothook {

using std::chrono::milliseconds;

namespace {
// Even far more leaving targets at a time than a region has are kept.
constexpr std::size_t MaxNotices = 8192;
} // namespace

bool TargetNotices::note(TargetId Target, TimePoint Now) {
  return this->apply({Target, 0}, Now);
}

bool TargetNotices::apply(const TargetNotice &Told, TimePoint Now) {
  std::uint64_t LifetimeMilliseconds =
      std::chrono::duration_cast<milliseconds>(this->Lifetime).count();
  if (Told.AgeMilliseconds >= LifetimeMilliseconds ||
      this->Since.size() >= MaxNotices)
    return false;
  TimePoint First = Now - milliseconds(Told.AgeMilliseconds);
  return this->Since.try_emplace(Told.Target, First).second;
}

bool TargetNotices::isLeaving(TargetId Target, TimePoint Now) const {
  auto Known = this->Since.find(Target);
  return Known != this->Since.end() && Now - Known->second < this->Lifetime;
}

std::vector<TargetNotice> TargetNotices::all(TimePoint Now) const {
  std::vector<TargetNotice> Notices;
  for (const auto &[Target, First] : this->Since)
    if (Now - First < this->Lifetime)
      Notices.push_back(
          {Target,
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<milliseconds>(Now - First).count())});
  return Notices;
}

std::uint64_t TargetNotices::digest(TimePoint Now) const {
  std::uint64_t Sum = 0;
  for (const auto &[Target, First] : this->Since)
    if (Now - First < this->Lifetime)
      Sum += Target.Value * 0x9e3779b97f4a7c15ULL;
  return Sum;
}

void TargetNotices::expire(TimePoint Now) {
  std::erase_if(this->Since, [&](const auto &Known) {
    return Now - Known.second >= this->Lifetime;
  });
}

} // namespace bergamothook
