#include "LibStandin/MemoryLog.h"

#include <algorithm>

namespace bergamothook {

MemoryLog::MemoryLog(LogLimits Limits, std::uint64_t Seed)
    : Limits(Limits), Rng(Seed), Tokens(Limits.AppendBurst) {}

bool MemoryLog::takeAppendToken(TimePoint Now) {
  std::chrono::duration<double> Elapsed = Now - this->LastRefill;
  this->LastRefill = Now;
  this->Tokens =
      std::min(this->Limits.AppendBurst,
               this->Tokens + Elapsed.count() * this->Limits.AppendsPerSecond);
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
  if (this->Rng.chance(this->Faults.LoseBeforeEffect))
    return LogError::ResponseLost;

  auto &Stored = this->Streams[Stream];
  Offset At{Stored.FirstOffset + Stored.Entries.size()};
  Stored.Entries.push_back({Now, std::move(Payload)});
  ++this->Appends;
  if (this->Rng.chance(this->Faults.LoseAfterEffect))
    return LogError::ResponseLost;
  return At;
}

Result<LogPage> MemoryLog::read(const std::string &Stream, Offset From,
                                std::size_t MaxEntries, TimePoint Now) {
  if (this->Faults.IsDown)
    return LogError::Unreachable;
  this->expire(Now);
  const auto &Stored = this->Streams[Stream];
  if (From.Value < Stored.FirstOffset)
    return LogError::BelowRetention;

  LogPage Page;
  Page.FirstRetained = Offset{Stored.FirstOffset};
  Page.Next = Offset{Stored.FirstOffset + Stored.Entries.size()};
  std::uint64_t End =
      std::min<std::uint64_t>(Page.Next.Value, From.Value + MaxEntries);
  for (std::uint64_t At = From.Value; At < End; ++At)
    Page.Entries.push_back(
        {Offset{At}, Stored.Entries[At - Stored.FirstOffset].Payload});
  return Page;
}

void MemoryLog::expire(TimePoint Now) {
  for (auto &[Name, Stored] : this->Streams) {
    while (!Stored.Entries.empty() &&
           Stored.Entries.front().At + this->Limits.Retention < Now) {
      Stored.Entries.pop_front();
      ++Stored.FirstOffset;
    }
  }
}

void MemoryLog::truncate(const std::string &Stream, Offset Below) {
  auto &Stored = this->Streams[Stream];
  while (!Stored.Entries.empty() && Stored.FirstOffset < Below.Value) {
    Stored.Entries.pop_front();
    ++Stored.FirstOffset;
  }
}

} // namespace bergamothook
