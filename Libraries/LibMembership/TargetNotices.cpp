#include "LibMembership/TargetNotices.h"

namespace bergamothook {

using std::chrono::milliseconds;

namespace {
// Far above the number of targets in a region.
constexpr std::size_t MaxNotices = 8192;
} // namespace

bool TargetNotices::markLeaving(TargetId Target, TimePoint Now) {
  return this->apply({Target, 0}, Now);
}

bool TargetNotices::apply(const TargetNotice &Received, TimePoint Now) {
  std::uint64_t LifetimeMilliseconds =
      std::chrono::duration_cast<milliseconds>(this->Lifetime).count();
  if (Received.AgeMilliseconds >= LifetimeMilliseconds ||
      this->FirstReportedAt.size() >= MaxNotices)
    return false;
  TimePoint ReportedAt = Now - milliseconds(Received.AgeMilliseconds);
  return this->FirstReportedAt.try_emplace(Received.Target, ReportedAt).second;
}

bool TargetNotices::isLeaving(TargetId Target, TimePoint Now) const {
  auto Found = this->FirstReportedAt.find(Target);
  return Found != this->FirstReportedAt.end() &&
         Now - Found->second < this->Lifetime;
}

std::vector<TargetNotice> TargetNotices::all(TimePoint Now) const {
  std::vector<TargetNotice> Notices;
  for (const auto &[Target, ReportedAt] : this->FirstReportedAt)
    if (Now - ReportedAt < this->Lifetime)
      Notices.push_back({Target, static_cast<std::uint64_t>(
                                     std::chrono::duration_cast<milliseconds>(
                                         Now - ReportedAt)
                                         .count())});
  return Notices;
}

std::uint64_t TargetNotices::digest(TimePoint Now) const {
  std::uint64_t Sum = 0;
  for (const auto &[Target, ReportedAt] : this->FirstReportedAt)
    if (Now - ReportedAt < this->Lifetime)
      Sum += Target.Value * 0x9e3779b97f4a7c15ULL;
  return Sum;
}

void TargetNotices::expire(TimePoint Now) {
  std::erase_if(this->FirstReportedAt, [&](const auto &Found) {
    return Now - Found.second >= this->Lifetime;
  });
}

} // namespace bergamothook
