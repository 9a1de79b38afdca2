#include "LibMembership/Membership.h"

#include "LibPeer/MessageCodec.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration ExpireInterval = std::chrono::milliseconds(200);
constexpr std::size_t MaxNoticesPerDatagram = 70;
constexpr std::size_t MaxRumorsPerTablePart = 500;

using Kind = MembershipMessageKind;

} // namespace

Membership::Membership(HostRumor Self, Runtime Tasks, MembershipTaskHooks Hooks,
                       MembershipLimits Limits, std::uint64_t Seed)
    : Tasks(std::move(Tasks)), Hooks(std::move(Hooks)), Limits(Limits),
      Generator(Seed), Table(std::move(Self), Limits.Table),
      Notices(Limits.NoticeLifetime) {}

void Membership::start() {
  this->Tasks.Spawn([this] { this->listLoop(); });
  this->Tasks.Spawn([this] { this->probeLoop(); });
  this->Tasks.Spawn([this] { this->tableLoop(); });
  this->Tasks.Spawn([this] { this->expireLoop(); });
}

void Membership::stop() {
  this->IsStopping = true;
  this->ProbeAnswered.notify();
}

void Membership::notifyChanged() {
  this->CachedRound.reset();
  if (this->Hooks.Changed)
    this->Hooks.Changed();
}

std::vector<HostId> Membership::view() {
  auto Round = static_cast<std::uint64_t>(this->Tasks.Now().time_since_epoch() /
                                          this->Limits.ViewRound);
  if (this->CachedRound != Round) {
    const HostRumor &Self = this->Table.self();
    this->CachedView = chooseView(Self.Host, Self.Domain, this->Table.present(),
                                  Round, this->Limits.View);
    this->CachedRound = Round;
  }
  return this->CachedView;
}

std::vector<Member> Membership::members() const {
  return joinMembers(this->List, this->Table, this->Notices, this->Tasks.Now());
}

void Membership::leave() {
  this->Table.leave();
  for (HostId Peer : this->view())
    this->sendProbe(Peer, Kind::Ping, ++this->LastSequence);
}

void Membership::noteLeaving(TargetId Target) {
  if (!this->Notices.markLeaving(Target, this->Tasks.Now()))
    return;
  this->gossipNotices();
  this->notifyChanged();
}

void Membership::gossipNotices() {
  for (HostId Peer : this->view())
    this->sendNotices(Peer, false);
}

void Membership::listLoop() {
  while (!this->IsStopping) {
    auto NewList =
        this->Hooks.List.Read(this->Tasks.Now() + this->Limits.ListInterval);
    if (NewList && NewList.value().Version >= this->List.Version) {
      this->List = std::move(NewList).value();
      this->HasList = true;
      for (const auto &Entry : this->List.Members)
        if (Entry.Role == MemberRole::EntryHost)
          this->Table.addListed(idOfName<HostId>(Entry.Name),
                                idOfName<FailureDomainId>(Entry.FailureDomain),
                                this->Tasks.Now());
      this->notifyChanged();
    }
    auto Interval = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(this->fleetSize()) /
                                      this->Limits.FleetListReadsPerSecond));
    this->Tasks.sleepUntil(
        this->Tasks.Now() +
        this->Generator.jitter(std::max(Interval, this->Limits.ListInterval)));
  }
}

void Membership::expireLoop() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() + ExpireInterval);
    this->Notices.expire(this->Tasks.Now());
    auto NewlyDead = this->Table.expire(this->Tasks.Now());
    for (const auto &Rumor : NewlyDead)
      this->Queue.add(Rumor, this->fleetSize());
    if (!NewlyDead.empty())
      this->notifyChanged();
  }
}

void Membership::tableLoop() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Generator.jitter(this->Limits.TableInterval));
    auto Peers = this->view();
    if (Peers.empty() || this->IsStopping)
      continue;
    this->Hooks.Send(Peers[this->Generator.below(Peers.size())],
                     Kind::TableDigest, encodeMessage(this->Table.digest()));
  }
}

std::optional<HostId> Membership::nextToProbe() {
  ++this->ProbeCount;
  if (this->ProbeCount % this->Limits.ProbesPerDeadProbe == 0) {
    std::vector<HostId> Dead;
    for (const auto &Rumor : this->Table.all())
      if (Rumor.State == HostState::Dead)
        Dead.push_back(Rumor.Host);
    if (!Dead.empty())
      return Dead[this->Generator.below(Dead.size())];
  }
  if (this->ProbeOrder.empty())
    this->ProbeOrder = this->view();
  if (this->ProbeOrder.empty())
    return std::nullopt;
  HostId Next = this->ProbeOrder.back();
  this->ProbeOrder.pop_back();
  return Next;
}

void Membership::probeLoop() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Generator.jitter(this->Limits.ProbeInterval));
    auto Host = this->nextToProbe();
    if (Host && !this->IsStopping)
      this->Tasks.Spawn([this, Host] { this->probe(*Host); });
  }
}

bool Membership::waitForAnswer(std::uint64_t Sequence, Duration Timeout) {
  return this->Tasks.waitUntil(
      this->ProbeAnswered, this->Tasks.Now() + Timeout, [this, Sequence] {
        return this->IsStopping || this->AnsweredProbes.contains(Sequence);
      });
}

void Membership::probe(HostId Host) {
  std::uint64_t Sequence = ++this->LastSequence;
  this->PendingProbes.insert(Sequence);
  this->sendProbe(Host, Kind::Ping, Sequence);
  bool IsAnswered =
      this->waitForAnswer(Sequence, this->Limits.AcknowledgeTimeout);
  if (!IsAnswered) {
    // The first ping is dropped if there is no session with the host yet.
    this->sendProbe(Host, Kind::Ping, Sequence);
    auto Helpers = this->view();
    std::erase(Helpers, Host);
    for (std::size_t Count = 0;
         Count < this->Limits.IndirectProbes && !Helpers.empty(); ++Count) {
      std::size_t Index = this->Generator.below(Helpers.size());
      this->Hooks.Send(Helpers[Index], Kind::PingRequest,
                       encodeMessage(PingRequest{Sequence, Host}));
      Helpers.erase(Helpers.begin() + static_cast<std::ptrdiff_t>(Index));
    }
    IsAnswered = this->waitForAnswer(Sequence, this->Limits.IndirectTimeout);
  }
  this->PendingProbes.erase(Sequence);
  this->AnsweredProbes.erase(Sequence);
  if (IsAnswered)
    return;
  if (auto Rumor = this->Table.suspect(Host, this->Tasks.Now())) {
    this->Queue.add(*Rumor, this->fleetSize());
    this->notifyChanged();
  }
}

void Membership::probeOnBehalfOf(HostId Requester, const PingRequest &Request) {
  std::uint64_t Sequence = ++this->LastSequence;
  this->PendingProbes.insert(Sequence);
  this->sendProbe(Request.Host, Kind::Ping, Sequence);
  if (this->waitForAnswer(Sequence, this->Limits.AcknowledgeTimeout) &&
      !this->IsStopping)
    this->sendProbe(Requester, Kind::Acknowledgement, Request.Sequence);
  this->PendingProbes.erase(Sequence);
  this->AnsweredProbes.erase(Sequence);
}

void Membership::sendProbe(HostId To, Kind MessageKind,
                           std::uint64_t Sequence) {
  ProbeMessage Message{
      Sequence, this->Notices.digest(this->Tasks.Now()), {this->Table.self()}};
  // Includes the rumor that the recipient is suspect, leaving or dead, so that
  // it can refute it.
  auto Current = this->Table.find(To);
  if (Current && Current->State != HostState::Alive && Current->Run != 0)
    Message.Rumors.push_back(*Current);
  for (auto &Rumor : this->Queue.take(this->Limits.RumorsPerMessage))
    Message.Rumors.push_back(std::move(Rumor));
  this->Hooks.Send(To, MessageKind, encodeMessage(Message));
}

void Membership::sendNotices(HostId To, bool WantsAnswer) {
  NoticesMessage Message{this->Notices.all(this->Tasks.Now()), WantsAnswer};
  if (Message.Notices.size() > MaxNoticesPerDatagram)
    this->Hooks.SendReliably(To, Kind::Notices, encodeMessage(Message));
  else
    this->Hooks.Send(To, Kind::Notices, encodeMessage(Message));
}

Result<void> Membership::handleMessage(const Incarnation &Sender,
                                       Kind MessageKind,
                                       std::string_view Body) {
  this->Table.markHeard(Sender, this->Tasks.Now());
  switch (MessageKind) {
  case Kind::Ping: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<ProbeMessage>(Body));
    this->handleProbe(Sender, Message);
    this->sendProbe(Sender.Host, Kind::Acknowledgement, Message.Sequence);
    return success();
  }
  case Kind::Acknowledgement: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<ProbeMessage>(Body));
    this->handleProbe(Sender, Message);
    if (this->PendingProbes.contains(Message.Sequence)) {
      this->AnsweredProbes.insert(Message.Sequence);
      this->ProbeAnswered.notify();
    }
    return success();
  }
  case Kind::PingRequest: {
    BOOST_OUTCOME_TRY(Request, decodeMessage<PingRequest>(Body));
    this->Tasks.Spawn([this, Requester = Sender.Host, Request] {
      this->probeOnBehalfOf(Requester, Request);
    });
    return success();
  }
  case Kind::TableDigest: {
    BOOST_OUTCOME_TRY(Digest, decodeMessage<std::uint64_t>(Body));
    if (Digest != this->Table.digest())
      this->sendTable(Sender.Host, true);
    return success();
  }
  case Kind::Table: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<TableMessage>(Body));
    this->handleTable(Sender.Host, Message);
    return success();
  }
  case Kind::Notices: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<NoticesMessage>(Body));
    this->handleNotices(Sender.Host, Message);
    return success();
  }
  }
  return PeerError::UnknownKind;
}

void Membership::handleProbe(const Incarnation &Sender,
                             const ProbeMessage &Message) {
  this->applyRumors(Message.Rumors);
  if (Message.NoticesDigest != this->Notices.digest(this->Tasks.Now()))
    this->sendNotices(Sender.Host, true);
}

void Membership::applyRumors(const std::vector<HostRumor> &Rumors) {
  bool HasNews = false;
  for (const auto &Rumor : Rumors) {
    RumorEffect Effect = this->Table.apply(Rumor, this->Tasks.Now());
    if (Effect == RumorEffect::News)
      this->Queue.add(Rumor, this->fleetSize());
    if (Effect == RumorEffect::Refuted)
      this->Queue.add(this->Table.self(), this->fleetSize());
    if (Effect == RumorEffect::Replaced && this->Hooks.Replaced)
      this->Hooks.Replaced();
    HasNews |= Effect == RumorEffect::News;
  }
  if (HasNews)
    this->notifyChanged();
}

void Membership::handleTable(HostId Sender, const TableMessage &Message) {
  this->applyRumors(Message.Rumors);
  if (Message.WantsAnswer)
    this->sendTable(Sender, false);
}

void Membership::sendTable(HostId To, bool WantsAnswer) {
  std::vector<HostRumor> All = this->Table.all();
  for (std::size_t Begin = 0; Begin < All.size();
       Begin += MaxRumorsPerTablePart) {
    std::size_t End = std::min(All.size(), Begin + MaxRumorsPerTablePart);
    TableMessage Part{{All.begin() + static_cast<std::ptrdiff_t>(Begin),
                       All.begin() + static_cast<std::ptrdiff_t>(End)},
                      WantsAnswer && End == All.size()};
    this->Hooks.SendReliably(To, Kind::Table, encodeMessage(Part));
  }
}

void Membership::handleNotices(HostId Sender, const NoticesMessage &Message) {
  bool HasNews = false;
  for (const auto &Notice : Message.Notices)
    HasNews |= this->Notices.apply(Notice, this->Tasks.Now());
  if (Message.WantsAnswer)
    this->sendNotices(Sender, false);
  if (!HasNews)
    return;
  this->gossipNotices();
  this->notifyChanged();
}

} // namespace bergamothook
