#include "LibObserve/LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace bergamothook {

namespace {

constexpr Duration DropReportInterval = std::chrono::seconds(1);
/// The share of each bucket that is reserved for warnings and errors.
constexpr double ReservedShare = 0.5;

} // namespace

LogRateLimiter::LogRateLimiter(LogRateLimits Limits, TimePoint Now)
    : Limits(Limits), Lines(Limits.LinesPerSecond * secondsOf(Limits.Burst)),
      Bytes(Limits.BytesPerSecond * secondsOf(Limits.Burst)), RefilledAt(Now),
      ReportedAt(Now - DropReportInterval) {}

void LogRateLimiter::refill(TimePoint Now) {
  double Elapsed = secondsOf(Now - this->RefilledAt);
  double Burst = secondsOf(this->Limits.Burst);
  this->RefilledAt = Now;
  this->Lines = std::min(this->Lines + Elapsed * this->Limits.LinesPerSecond,
                         this->Limits.LinesPerSecond * Burst);
  this->Bytes = std::min(this->Bytes + Elapsed * this->Limits.BytesPerSecond,
                         this->Limits.BytesPerSecond * Burst);
}

bool LogRateLimiter::admit(LogLevel Level, std::size_t Size, TimePoint Now) {
  this->refill(Now);
  double Burst = secondsOf(this->Limits.Burst);
  double Reserved = Level < LogLevel::Warning ? ReservedShare : 0;
  double RemainingLines = this->Lines - 1;
  double RemainingBytes = this->Bytes - static_cast<double>(Size);
  if (RemainingLines < Reserved * this->Limits.LinesPerSecond * Burst ||
      RemainingBytes < Reserved * this->Limits.BytesPerSecond * Burst)
    return false;
  this->Lines = RemainingLines;
  this->Bytes = RemainingBytes;
  return true;
}

void LogRateLimiter::countDropped(std::string_view Event, std::uint64_t Lines) {
  this->Dropped[std::string(Event)] += Lines;
}

DroppedLines LogRateLimiter::takeDropped(TimePoint Now) {
  if (this->Dropped.empty() || Now - this->ReportedAt < DropReportInterval)
    return {};
  this->ReportedAt = Now;
  return std::exchange(this->Dropped, {});
}

} // namespace bergamothook
