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
      Hooks(std::move(Hooks)), Limits(Limits), Dice(Seed) {}

void ConfigGossip::start() {
  this->Tasks.Spawn([this] { this->startLoop(); });
  this->Tasks.Spawn([this] { this->logLoop(); });
  this->Tasks.Spawn([this] { this->pushLoop(); });
  this->Tasks.Spawn([this] { this->announceLoop(); });
}

void ConfigGossip::stop() {
  this->IsStopping = true;
  this->Advanced.notify();
  this->ReadWanted.notify();
}

void ConfigGossip::readLogSoon() {
  this->IsReadWanted = true;
  this->ReadWanted.notify();
}

Duration ConfigGossip::readInterval() const {
  double Share = static_cast<double>(this->Hooks.FleetSize()) /
                 this->Limits.FleetReadsPerSecond;
  auto Fair = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Share));
  return std::max(Fair, this->Limits.ShortestReadInterval);
}

void ConfigGossip::logLoop() {
  while (!this->IsStopping) {
    this->IsReadWanted = false;
    auto New = this->Reader.readToEnd();
    if (New)
      this->becomeReady();
    // Even a read that failed may have moved on before, and a publisher may
    // have read what it appended just before the log was lost.
    this->advanced();
    TimePoint Wake =
        this->Tasks.Now() + this->Dice.jitter(this->readInterval());
    if (!this->IsReady)
      Wake = std::min(Wake, this->Tasks.Now() +
                                this->Dice.jitter(StartRetryInterval));
    this->Tasks.waitUntil(this->ReadWanted, Wake, [this] {
      return this->IsReadWanted || this->IsStopping;
    });
  }
}

void ConfigGossip::startLoop() {
  std::optional<TimePoint> FirstAnswer;
  while (!this->IsStopping && !this->IsReady) {
    for (HostId Peer : this->Hooks.View())
      this->announceTo(Peer, true);
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Dice.jitter(StartRetryInterval));
    if (!FirstAnswer && !this->StartAnswers.empty())
      FirstAnswer = this->Tasks.Now();
    if (!FirstAnswer || !this->knowsAllThatPeersKnow())
      continue;
    bool HasAllAnswers = this->StartAnswers.size() >= this->Hooks.View().size();
    TimePoint Latest = *FirstAnswer + this->Limits.StartPatience;
    if (HasAllAnswers || this->Tasks.Now() >= Latest)
      this->becomeReady();
  }
}

bool ConfigGossip::knowsAllThatPeersKnow() const {
  Offset Next = this->Replica.position().Next;
  return std::all_of(this->StartAnswers.begin(), this->StartAnswers.end(),
                     [&](const auto &Answer) { return Answer.second <= Next; });
}

void ConfigGossip::becomeReady() {
  if (this->IsReady)
    return;
  this->IsReady = true;
  if (this->Hooks.Changed)
    this->Hooks.Changed();
}

void ConfigGossip::advanced() {
  if (this->Replica.position().Next <= this->Pushed)
    return;
  this->Advanced.notify();
  if (this->Hooks.Changed)
    this->Hooks.Changed();
}

void ConfigGossip::pushLoop() {
  // What is there before the start was spread by others.
  this->Pushed = this->Replica.position().Next;
  while (!this->IsStopping) {
    bool HasNew = this->Tasks.waitUntil(
        this->Advanced, this->Tasks.Now() + IdleWait, [this] {
          return this->IsStopping ||
                 this->Replica.position().Next > this->Pushed;
        });
    if (!HasNew || this->IsStopping)
      continue;
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Dice.jitter(this->Limits.PushDelay));
    this->push();
  }
}

void ConfigGossip::push() {
  Offset From = this->Pushed;
  this->Pushed = this->Replica.position().Next;
  auto New = this->Replica.entriesFrom(From, this->Limits.MaxEagerBytes);
  bool FitsInDatagram = New && bytesOf(*New) <= this->Limits.MaxEagerBytes;
  std::vector<HostId> View = this->Hooks.View();
  for (std::size_t Index = View.size(); Index > 1; --Index)
    std::swap(View[Index - 1], View[this->Dice.below(Index)]);
  std::size_t Eager = 0;
  for (HostId Peer : View) {
    auto Known = this->PeerPositions.find(Peer);
    if (Known != this->PeerPositions.end() &&
        Known->second.Next >= this->Pushed)
      continue;
    if (FitsInDatagram && Eager < this->Limits.EagerPeers) {
      ++Eager;
      this->Hooks.Send(Peer, ConfigMessageKind::Entries,
                       encodeEntries(From, *New));
    }
    this->announceTo(Peer, false);
  }
}

void ConfigGossip::announceLoop() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Dice.jitter(this->Limits.AnnounceInterval));
    std::vector<HostId> View = this->Hooks.View();
    if (!View.empty() && !this->IsStopping)
      this->announceTo(View[this->Dice.below(View.size())], true);
  }
}

void ConfigGossip::announceTo(HostId Peer, bool WantsAnswer) {
  ConfigAnnouncement Told{this->Replica.position(), this->IsReady, WantsAnswer};
  this->Hooks.Send(Peer, ConfigMessageKind::Announcement, encodeMessage(Told));
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
  ConfigPosition Here = this->Replica.position();
  if (From >= Here.Next)
    return;
  auto Entries = this->Replica.entriesFrom(From, this->Limits.MaxEntriesBytes);
  if (!Entries || bytesOf(*Entries) > this->Limits.MaxEntriesBytes) {
    for (const auto &Part : cutState(Here.Next, this->Replica.encodeState()))
      this->Hooks.SendReliably(Peer, ConfigMessageKind::StateChunk,
                               encodeMessage(Part));
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
    BOOST_OUTCOME_TRY(Told, decodeMessage<ConfigAnnouncement>(Body));
    this->takeAnnouncement(Sender, Told);
    return success();
  }
  case ConfigMessageKind::Entries: {
    BOOST_OUTCOME_TRY(Given, decodeMessage<ConfigEntries>(Body));
    this->takeEntries(Sender, Given);
    return success();
  }
  case ConfigMessageKind::Request: {
    BOOST_OUTCOME_TRY(Asked, decodeMessage<ConfigRequest>(Body));
    this->sendMissing(Sender, Asked.From);
    return success();
  }
  case ConfigMessageKind::StateChunk: {
    BOOST_OUTCOME_TRY(Part, decodeMessage<ConfigStateChunk>(Body));
    this->takeChunk(Sender, Part);
    return success();
  }
  }
  return PeerError::UnknownKind;
}

void ConfigGossip::takeAnnouncement(HostId Sender,
                                    const ConfigAnnouncement &Told) {
  ConfigPosition Here = this->Replica.position();
  this->PeerPositions[Sender] = Told.Position;
  if (!this->IsReady && Told.IsReady)
    this->StartAnswers[Sender] = Told.Position.Next;
  if (Told.Position.Next == Here.Next && Told.Position != Here)
    ++this->Divergences;
  if (Told.Position.Next > Here.Next)
    this->request(Sender);
  if (Told.Position.Next < Here.Next && Told.WantsAnswer)
    this->sendMissing(Sender, Told.Position.Next);
  if (Told.WantsAnswer)
    this->announceTo(Sender, false);
}

void ConfigGossip::takeEntries(HostId Sender, const ConfigEntries &Given) {
  Offset At = Given.From;
  OfferOutcome Last = OfferOutcome::AlreadyKnown;
  for (const auto &Payload : Given.Payloads) {
    Last = this->Replica.offer({At, Payload});
    if (Last == OfferOutcome::Gap)
      break;
    At = Offset{At.Value + 1};
  }
  if (Last == OfferOutcome::Gap)
    this->request(Sender);
  this->advanced();
  // A peer that is far behind asks on until it has all.
  auto Known = this->PeerPositions.find(Sender);
  if (Last == OfferOutcome::Applied && Known != this->PeerPositions.end() &&
      Known->second.Next > this->Replica.position().Next) {
    this->NextRequest = TimePoint{};
    this->request(Sender);
  }
}

void ConfigGossip::takeChunk(HostId Sender, const ConfigStateChunk &Part) {
  auto Whole = this->Assembler.addChunk(Sender, Part, this->Tasks.Now());
  if (!Whole)
    return;
  auto Taken = this->Replica.restore(*Whole);
  if (Taken && Taken.value())
    this->advanced();
}

} // namespace bergamothook
