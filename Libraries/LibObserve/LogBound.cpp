#include "LibObserve/LogBound.h"

#include <algorithm>
#include <utility>

namespace bergamothook {

namespace {

constexpr Duration TellInterval = std::chrono::seconds(1);
/// The part of each bucket that only warnings and errors may use.
constexpr double ReservedPart = 0.5;

} // namespace

LogBound::LogBound(LogVolume Limits, TimePoint Now)
    : Limits(Limits), Lines(Limits.LinesPerSecond * secondsOf(Limits.Burst)),
      Bytes(Limits.BytesPerSecond * secondsOf(Limits.Burst)), RefilledAt(Now),
      ToldAt(Now - TellInterval) {}

void LogBound::refill(TimePoint Now) {
  double Passed = secondsOf(Now - this->RefilledAt);
  double Burst = secondsOf(this->Limits.Burst);
  this->RefilledAt = Now;
  this->Lines = std::min(this->Lines + Passed * this->Limits.LinesPerSecond,
                         this->Limits.LinesPerSecond * Burst);
  this->Bytes = std::min(this->Bytes + Passed * this->Limits.BytesPerSecond,
                         this->Limits.BytesPerSecond * Burst);
}

bool LogBound::admit(LogLevel Level, std::size_t Size, TimePoint Now) {
  this->refill(Now);
  double Burst = secondsOf(this->Limits.Burst);
  double Kept = Level < LogLevel::Warning ? ReservedPart : 0;
  double LinesLeft = this->Lines - 1;
  double BytesLeft = this->Bytes - static_cast<double>(Size);
  if (LinesLeft < Kept * this->Limits.LinesPerSecond * Burst ||
      BytesLeft < Kept * this->Limits.BytesPerSecond * Burst)
    return false;
  this->Lines = LinesLeft;
  this->Bytes = BytesLeft;
  return true;
}

void LogBound::countDropped(std::string_view Event, std::uint64_t Lines) {
  this->Dropped[std::string(Event)] += Lines;
}

DroppedLines LogBound::takeDropped(TimePoint Now) {
  if (this->Dropped.empty() || Now - this->ToldAt < TellInterval)
    return {};
  this->ToldAt = Now;
  return std::exchange(this->Dropped, {});
}

} // namespace bergamothook
