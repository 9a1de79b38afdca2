#include "LibStandin/MemoryLog.h"

#include <algorithm>

namespace bergamothook {

MemoryLog::MemoryLog(LogLimits Limits, std::uint64_t Seed)
    : Limits(Limits), Dice(Seed), Tokens(Limits.AppendBurst) {}

bool MemoryLog::takeAppendToken(TimePoint Now) {
  std::chrono::duration<double> Passed = Now - this->LastRefill;
  this->LastRefill = Now;
  this->Tokens =
      std::min(this->Limits.AppendBurst,
               this->Tokens + Passed.count() * this->Limits.AppendsPerSecond);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

Result<Offset> MemoryLog::append(const std::string &Stream, std::string Payload,
                                 TimePoint Now) {
  if (this->Faults.IsDown)
    return LogError::Unreachable;
  if (Payload.size() > this->Limits.MaxPayloadBytes)
    return LogError::TooLarge;
  if (!this->takeAppendToken(Now))
    return LogError::RateLimited;
  if (this->Dice.chance(this->Faults.LoseBeforeEffect))
    return LogError::ResponseLost;

  auto &Target = this->Streams[Stream];
  Offset At{Target.First + Target.Entries.size()};
  Target.Entries.push_back({Now, std::move(Payload)});
  ++this->Appends;
  if (this->Dice.chance(this->Faults.LoseAfterEffect))
    return LogError::ResponseLost;
  return At;
}

Result<LogPage> MemoryLog::read(const std::string &Stream, Offset From,
                                std::size_t MaxEntries, TimePoint Now) {
  if (this->Faults.IsDown)
    return LogError::Unreachable;
  this->expire(Now);
  const auto &Source = this->Streams[Stream];
  if (From.Value < Source.First)
    return LogError::BelowRetention;

  LogPage Page;
  Page.FirstRetained = Offset{Source.First};
  Page.Next = Offset{Source.First + Source.Entries.size()};
  std::uint64_t End =
      std::min<std::uint64_t>(Page.Next.Value, From.Value + MaxEntries);
  for (std::uint64_t At = From.Value; At < End; ++At)
    Page.Entries.push_back(
        {Offset{At}, Source.Entries[At - Source.First].Payload});
  return Page;
}

void MemoryLog::expire(TimePoint Now) {
  for (auto &[Name, Kept] : this->Streams) {
    while (!Kept.Entries.empty() &&
           Kept.Entries.front().At + this->Limits.Retention < Now) {
      Kept.Entries.pop_front();
      ++Kept.First;
    }
  }
}

void MemoryLog::truncate(const std::string &Stream, Offset Below) {
  auto &Target = this->Streams[Stream];
  while (!Target.Entries.empty() && Target.First < Below.Value) {
    Target.Entries.pop_front();
    ++Target.First;
  }
}

} // namespace bergamothook
