#include "LibConfig/ConfigGossip.h"

#include "LibPeer/MessageCodec.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration IdleWait = std::chrono::seconds(1);
constexpr Duration StartRetryInterval = std::chrono::milliseconds(200);

std::size_t bytesOf(const std::vector<LogEntry> &Entries) {
  std::size_t Bytes = 0;
  for (const auto &Entry : Entries)
    Bytes += Entry.Payload.size() + sizeof(std::uint64_t);
  return Bytes;
}

std::string encodeEntries(Offset From, std::vector<LogEntry> Entries) {
  ConfigEntries Message{From, {}};
  for (auto &Entry : Entries)
    Message.Payloads.push_back(std::move(Entry.Payload));
  return encodeMessage(Message);
}

} // namespace

ConfigGossip::ConfigGossip(ConfigReplica &Replica, ConfigLogReader &Reader,
                           Runtime Tasks, ConfigGossipHooks Hooks,
                           ConfigGossipLimits Limits, std::uint64_t Seed)
    : Replica(Replica), Reader(Reader), Tasks(std::move(Tasks)),
      Hooks(std::move(Hooks)), Limits(Limits), Rng(Seed) {}

void ConfigGossip::start() {
  this->Tasks.Spawn([this] { this->startLoop(); });
  this->Tasks.Spawn([this] { this->logLoop(); });
  this->Tasks.Spawn([this] { this->pushLoop(); });
  this->Tasks.Spawn([this] { this->announceLoop(); });
}

void ConfigGossip::stop() {
  this->IsStopping = true;
  this->Advanced.notify();
  this->ReadRequested.notify();
}

void ConfigGossip::readLogSoon() {
  this->IsReadRequested = true;
  this->ReadRequested.notify();
}

Duration ConfigGossip::readInterval() const {
  double SecondsPerRead = static_cast<double>(this->Hooks.FleetSize()) /
                          this->Limits.FleetReadsPerSecond;
  auto FairInterval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(SecondsPerRead));
  return std::max(FairInterval, this->Limits.MinReadInterval);
}

void ConfigGossip::logLoop() {
  while (!this->IsStopping) {
    this->IsReadRequested = false;
    auto NewEntries = this->Reader.readToEnd();
    if (NewEntries)
      this->markReady();
    // A failed read may have applied entries before the failure, and a
    // publisher may have read its own append just before the log became
    // unavailable.
    this->notifyIfAdvanced();
    TimePoint Wake = this->Tasks.Now() + this->Rng.jitter(this->readInterval());
    if (!this->IsReady)
      Wake = std::min(Wake,
                      this->Tasks.Now() + this->Rng.jitter(StartRetryInterval));
    this->Tasks.waitUntil(this->ReadRequested, Wake, [this] {
      return this->IsReadRequested || this->IsStopping;
    });
  }
}

void ConfigGossip::startLoop() {
  std::optional<TimePoint> FirstResponse;
  while (!this->IsStopping && !this->IsReady) {
    for (HostId Peer : this->Hooks.View())
      this->announceTo(Peer, true);
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Rng.jitter(StartRetryInterval));
    if (!FirstResponse && !this->StartResponses.empty())
      FirstResponse = this->Tasks.Now();
    if (!FirstResponse || !this->hasCaughtUpWithPeers())
      continue;
    bool HasAllResponses =
        this->StartResponses.size() >= this->Hooks.View().size();
    TimePoint Deadline = *FirstResponse + this->Limits.StartTimeout;
    if (HasAllResponses || this->Tasks.Now() >= Deadline)
      this->markReady();
  }
}

bool ConfigGossip::hasCaughtUpWithPeers() const {
  Offset Next = this->Replica.position().Next;
  return std::all_of(
      this->StartResponses.begin(), this->StartResponses.end(),
      [&](const auto &Response) { return Response.second <= Next; });
}

void ConfigGossip::markReady() {
  if (this->IsReady)
    return;
  this->IsReady = true;
  if (this->Hooks.Changed)
    this->Hooks.Changed();
}

void ConfigGossip::notifyIfAdvanced() {
  if (this->Replica.position().Next <= this->PushedUpTo)
    return;
  this->Advanced.notify();
  if (this->Hooks.Changed)
    this->Hooks.Changed();
}

void ConfigGossip::pushLoop() {
  // The entries present at the start were pushed by other hosts.
  this->PushedUpTo = this->Replica.position().Next;
  while (!this->IsStopping) {
    bool HasNew = this->Tasks.waitUntil(
        this->Advanced, this->Tasks.Now() + IdleWait, [this] {
          return this->IsStopping ||
                 this->Replica.position().Next > this->PushedUpTo;
        });
    if (!HasNew || this->IsStopping)
      continue;
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Rng.jitter(this->Limits.PushDelay));
    this->push();
  }
}

void ConfigGossip::push() {
  Offset From = this->PushedUpTo;
  this->PushedUpTo = this->Replica.position().Next;
  auto NewEntries = this->Replica.entriesFrom(From, this->Limits.MaxEagerBytes);
  bool FitsInDatagram =
      NewEntries && bytesOf(*NewEntries) <= this->Limits.MaxEagerBytes;
  std::vector<HostId> View = this->Hooks.View();
  for (std::size_t Index = View.size(); Index > 1; --Index)
    std::swap(View[Index - 1], View[this->Rng.below(Index)]);
  std::size_t EagerSends = 0;
  for (HostId Peer : View) {
    auto Known = this->PeerPositions.find(Peer);
    if (Known != this->PeerPositions.end() &&
        Known->second.Next >= this->PushedUpTo)
      continue;
    if (FitsInDatagram && EagerSends < this->Limits.EagerPeers) {
      ++EagerSends;
      this->Hooks.Send(Peer, ConfigMessageKind::Entries,
                       encodeEntries(From, *NewEntries));
    }
    this->announceTo(Peer, false);
  }
}

void ConfigGossip::announceLoop() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Rng.jitter(this->Limits.AnnounceInterval));
    std::vector<HostId> View = this->Hooks.View();
    if (!View.empty() && !this->IsStopping)
      this->announceTo(View[this->Rng.below(View.size())], true);
  }
}

void ConfigGossip::announceTo(HostId Peer, bool WantsResponse) {
  ConfigAnnouncement Announcement{this->Replica.position(), this->IsReady,
                                  WantsResponse};
  this->Hooks.Send(Peer, ConfigMessageKind::Announcement,
                   encodeMessage(Announcement));
}

void ConfigGossip::request(HostId Peer) {
  TimePoint Now = this->Tasks.Now();
  if (this->Assembler.isBusy(Now))
    return;
  if (Now < this->NextRequest)
    return;
  this->NextRequest = Now + this->Limits.RequestInterval;
  this->Hooks.Send(Peer, ConfigMessageKind::Request,
                   encodeMessage(ConfigRequest{this->Replica.position().Next}));
}

void ConfigGossip::sendMissing(HostId Peer, Offset From) {
  ConfigPosition OwnPosition = this->Replica.position();
  if (From >= OwnPosition.Next)
    return;
  auto Entries = this->Replica.entriesFrom(From, this->Limits.MaxEntriesBytes);
  if (!Entries || bytesOf(*Entries) > this->Limits.MaxEntriesBytes) {
    for (const auto &Chunk :
         splitState(OwnPosition.Next, this->Replica.encodeState()))
      this->Hooks.SendReliably(Peer, ConfigMessageKind::StateChunk,
                               encodeMessage(Chunk));
    return;
  }
  bool IsSmall = bytesOf(*Entries) <= this->Limits.MaxEagerBytes;
  std::string Body = encodeEntries(From, std::move(*Entries));
  if (IsSmall)
    this->Hooks.Send(Peer, ConfigMessageKind::Entries, std::move(Body));
  else
    this->Hooks.SendReliably(Peer, ConfigMessageKind::Entries, std::move(Body));
}

Result<void> ConfigGossip::received(HostId Sender, ConfigMessageKind Kind,
                                    std::string_view Body) {
  switch (Kind) {
  case ConfigMessageKind::Announcement: {
    BOOST_OUTCOME_TRY(Announcement, decodeMessage<ConfigAnnouncement>(Body));
    this->handleAnnouncement(Sender, Announcement);
    return success();
  }
  case ConfigMessageKind::Entries: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<ConfigEntries>(Body));
    this->handleEntries(Sender, Message);
    return success();
  }
  case ConfigMessageKind::Request: {
    BOOST_OUTCOME_TRY(Request, decodeMessage<ConfigRequest>(Body));
    this->sendMissing(Sender, Request.From);
    return success();
  }
  case ConfigMessageKind::StateChunk: {
    BOOST_OUTCOME_TRY(Chunk, decodeMessage<ConfigStateChunk>(Body));
    this->handleChunk(Sender, Chunk);
    return success();
  }
  }
  return PeerError::UnknownKind;
}

void ConfigGossip::handleAnnouncement(HostId Sender,
                                      const ConfigAnnouncement &Announcement) {
  ConfigPosition OwnPosition = this->Replica.position();
  this->PeerPositions[Sender] = Announcement.Position;
  if (!this->IsReady && Announcement.IsReady)
    this->StartResponses[Sender] = Announcement.Position.Next;
  if (Announcement.Position.Next == OwnPosition.Next &&
      Announcement.Position != OwnPosition)
    ++this->Divergences;
  if (Announcement.Position.Next > OwnPosition.Next)
    this->request(Sender);
  if (Announcement.Position.Next < OwnPosition.Next &&
      Announcement.WantsResponse)
    this->sendMissing(Sender, Announcement.Position.Next);
  if (Announcement.WantsResponse)
    this->announceTo(Sender, false);
}

void ConfigGossip::handleEntries(HostId Sender, const ConfigEntries &Message) {
  Offset At = Message.From;
  OfferOutcome LastOutcome = OfferOutcome::AlreadyKnown;
  for (const auto &Payload : Message.Payloads) {
    LastOutcome = this->Replica.offer({At, Payload});
    if (LastOutcome == OfferOutcome::Gap)
      break;
    At = Offset{At.Value + 1};
  }
  if (LastOutcome == OfferOutcome::Gap)
    this->request(Sender);
  this->notifyIfAdvanced();
  // Requests more entries until this host has caught up with the sender.
  auto Known = this->PeerPositions.find(Sender);
  if (LastOutcome == OfferOutcome::Applied &&
      Known != this->PeerPositions.end() &&
      Known->second.Next > this->Replica.position().Next) {
    this->NextRequest = TimePoint{};
    this->request(Sender);
  }
}

void ConfigGossip::handleChunk(HostId Sender, const ConfigStateChunk &Chunk) {
  auto State = this->Assembler.addChunk(Sender, Chunk, this->Tasks.Now());
  if (!State)
    return;
  auto Restored = this->Replica.restore(*State);
  if (Restored && Restored.value())
    this->notifyIfAdvanced();
}

} // namespace bergamothook
