#include "LibRelayFront/ConnectionRoster.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// How long the end of a response may take to be sent before its connection
/// may be closed; as long as any other write to a caller.
constexpr Duration SendingTime = std::chrono::seconds(5);
/// Bounds the work for each new connection.
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
  int Examined = 0;
  for (auto At = this->ByRank.begin(); At != this->ByRank.end(); ++At) {
    auto [Phase, Since, Id] = At->first;
    if (Phase == ConnectionPhase::Answering || ++Examined > MaxExamined)
      return false;
    TcpConnection::Handle Connection = At->second->Connection;
    if (Connection->unsent() > 0 && Now - Since < SendingTime)
      continue;
    this->ByRank.erase(At);
    ++this->Evictions;
    Connection->evict();
    this->log(Phase, Now);
    return true;
  }
  return false;
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
