#include "LibRelayFront/ConnectionRoster.h"

#include "LibObserve/StructuredLog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// How long the end of a response may make no progress before its connection
/// may be closed; as long as any other write to a caller.
constexpr Duration SendingTime = std::chrono::seconds(5);
/// The time in which a client that is not slow sends its request. One that
/// needs longer gives way to others while the port is full.
constexpr Duration RequestTime = std::chrono::seconds(1);
/// Bounds the work for each new connection, in each phase.
constexpr int MaxExamined = 64;
constexpr Duration EvictionLogInterval = std::chrono::seconds(1);

const char *nameOf(ConnectionPhase Phase) {
  switch (Phase) {
  case ConnectionPhase::Closing:
    return "closing";
  case ConnectionPhase::FirstRequest:
    return "first_request";
  case ConnectionPhase::NextRequest:
    return "next_request";
  case ConnectionPhase::Idle:
    return "idle";
  case ConnectionPhase::Answering:
    break;
  }
  return "answering";
}

} // namespace

ConnectionRoster::Entry::Entry(ConnectionRoster &Roster,
                               TcpConnection::Handle Connection, TimePoint Now)
    : Roster(Roster), Connection(std::move(Connection)),
      Rank(ConnectionPhase::FirstRequest, Now, ++Roster.LastEntry) {
  Roster.ByRank.emplace(this->Rank, this);
}

ConnectionRoster::Entry::~Entry() { this->Roster.ByRank.erase(this->Rank); }

void ConnectionRoster::Entry::enter(ConnectionPhase Phase, TimePoint Now) {
  auto Node = this->Roster.ByRank.extract(this->Rank);
  this->Rank = {Phase, Now, std::get<2>(this->Rank)};
  if (Node.empty()) // It was evicted.
    return;
  Node.key() = this->Rank;
  this->Roster.ByRank.insert(std::move(Node));
}

bool ConnectionRoster::evictOne(TimePoint Now) {
  return this->evictFrom(ConnectionPhase::Closing, Duration::zero(), Now) ||
         this->evictFrom(ConnectionPhase::FirstRequest, RequestTime, Now) ||
         this->evictFrom(ConnectionPhase::NextRequest, RequestTime, Now) ||
         this->evictFrom(ConnectionPhase::Idle, Duration::zero(), Now) ||
         this->evictFrom(ConnectionPhase::FirstRequest, Duration::zero(),
                         Now) ||
         this->evictFrom(ConnectionPhase::NextRequest, Duration::zero(), Now);
}

bool ConnectionRoster::evictFrom(ConnectionPhase Phase, Duration MinAge,
                                 TimePoint Now) {
  auto At = this->ByRank.lower_bound({Phase, TimePoint::min(), 0});
  for (int I = 0; I < MaxExamined && At != this->ByRank.end(); ++I, ++At) {
    auto [FoundPhase, Since, Id] = At->first;
    if (FoundPhase != Phase || Now - Since < MinAge)
      return false;
    if (isBusy(*At->second, Now))
      continue;
    TcpConnection::Handle Connection = At->second->Connection;
    std::string LastBytes;
    if (this->Refusal && hasBegun(*At->second))
      LastBytes = this->Refusal();
    this->ByRank.erase(At);
    ++this->Evictions;
    Connection->evict(LastBytes);
    this->log(Phase, Now);
    return true;
  }
  return false;
}

bool ConnectionRoster::hasBegun(const Entry &Candidate) {
  switch (std::get<0>(Candidate.Rank)) {
  case ConnectionPhase::FirstRequest:
    return Candidate.Connection->bytesReceived() > 0;
  case ConnectionPhase::NextRequest:
  case ConnectionPhase::Answering:
    return true;
  case ConnectionPhase::Closing:
  case ConnectionPhase::Idle:
    break;
  }
  return false;
}

bool ConnectionRoster::isBusy(Entry &Candidate, TimePoint Now) {
  const TcpConnection &Connection = *Candidate.Connection;
  auto [Phase, Since, Id] = Candidate.Rank;
  bool HasReadNothing =
      Phase == ConnectionPhase::Idle ||
      (Phase == ConnectionPhase::FirstRequest && !hasBegun(Candidate));
  if (HasReadNothing &&
      (!Connection.unread().empty() || Connection.hasArrived()))
    return true;
  if (Connection.unsent() == 0)
    return false;
  if (Connection.bytesSent() != Candidate.BytesSent) {
    Candidate.BytesSent = Connection.bytesSent();
    Candidate.SentAt = Now;
  }
  return Now - std::max(Since, Candidate.SentAt) < SendingTime;
}

void ConnectionRoster::log(ConnectionPhase Phase, TimePoint Now) {
  if (Now < this->NextLogAt)
    return;
  this->NextLogAt = Now + EvictionLogInterval;
  logEvent(LogLevel::Warning, "connections_evicted",
           {{"address", this->Address},
            {"count", this->Evictions - this->LoggedEvictions},
            {"last_phase", nameOf(Phase)}});
  this->LoggedEvictions = this->Evictions;
}

} // namespace bergamothook
