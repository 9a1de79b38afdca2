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
      Dice(Seed), Table(std::move(Self), Limits.Table),
      Notices(Limits.NoticeLifetime) {}

void Membership::start() {
  this->Tasks.Spawn([this] { this->listLoop(); });
  this->Tasks.Spawn([this] { this->probeLoop(); });
  this->Tasks.Spawn([this] { this->tableLoop(); });
  this->Tasks.Spawn([this] { this->expireLoop(); });
}

void Membership::stop() {
  this->IsStopping = true;
  this->AnswerCame.notify();
}

void Membership::changed() {
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
  if (!this->Notices.note(Target, this->Tasks.Now()))
    return;
  this->spreadNotices();
  this->changed();
}

void Membership::spreadNotices() {
  for (HostId Peer : this->view())
    this->sendNotices(Peer, false);
}

void Membership::listLoop() {
  while (!this->IsStopping) {
    auto Read =
        this->Hooks.List.Read(this->Tasks.Now() + this->Limits.ListInterval);
    if (Read && Read.value().Version >= this->List.Version) {
      this->List = std::move(Read).value();
      this->HasList = true;
      for (const auto &Line : this->List.Members)
        if (Line.Role == MemberRole::EntryHost)
          this->Table.addListed(idOfName<HostId>(Line.Name),
                                idOfName<FailureDomainId>(Line.FailureDomain),
                                this->Tasks.Now());
      this->changed();
    }
    auto Share = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(this->fleetSize()) /
                                      this->Limits.FleetListReadsPerSecond));
    this->Tasks.sleepUntil(
        this->Tasks.Now() +
        this->Dice.jitter(std::max(Share, this->Limits.ListInterval)));
  }
}

void Membership::expireLoop() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() + ExpireInterval);
    this->Notices.expire(this->Tasks.Now());
    auto Died = this->Table.expire(this->Tasks.Now());
    for (const auto &Rumor : Died)
      this->Queue.add(Rumor, this->fleetSize());
    if (!Died.empty())
      this->changed();
  }
}

void Membership::tableLoop() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() +
                           this->Dice.jitter(this->Limits.TableInterval));
    auto Peers = this->view();
    if (Peers.empty() || this->IsStopping)
      continue;
    this->Hooks.Send(Peers[this->Dice.below(Peers.size())], Kind::TableDigest,
                     encodeMessage(this->Table.digest()));
  }
}

std::optional<HostId> Membership::nextToProbe() {
  ++this->Probes;
  if (this->Probes % this->Limits.ProbesPerDeadProbe == 0) {
    std::vector<HostId> Dead;
    for (const auto &Known : this->Table.all())
      if (Known.State == HostState::Dead)
        Dead.push_back(Known.Host);
    if (!Dead.empty())
      return Dead[this->Dice.below(Dead.size())];
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
                           this->Dice.jitter(this->Limits.ProbeInterval));
    auto Host = this->nextToProbe();
    if (Host && !this->IsStopping)
      this->Tasks.Spawn([this, Host] { this->probe(*Host); });
  }
}

bool Membership::waitForAnswer(std::uint64_t Sequence, Duration Patience) {
  return this->Tasks.waitUntil(
      this->AnswerCame, this->Tasks.Now() + Patience, [this, Sequence] {
        return this->IsStopping || this->Answered.contains(Sequence);
      });
}

void Membership::probe(HostId Host) {
  std::uint64_t Sequence = ++this->LastSequence;
  this->Open.insert(Sequence);
  this->sendProbe(Host, Kind::Ping, Sequence);
  bool IsAnswered =
      this->waitForAnswer(Sequence, this->Limits.AcknowledgeTimeout);
  if (!IsAnswered) {
    // The first ping gets lost where there is no session yet.
    this->sendProbe(Host, Kind::Ping, Sequence);
    auto Helpers = this->view();
    std::erase(Helpers, Host);
    for (std::size_t Count = 0;
         Count < this->Limits.IndirectProbes && !Helpers.empty(); ++Count) {
      std::size_t Index = this->Dice.below(Helpers.size());
      this->Hooks.Send(Helpers[Index], Kind::PingRequest,
                       encodeMessage(PingRequest{Sequence, Host}));
      Helpers.erase(Helpers.begin() + static_cast<std::ptrdiff_t>(Index));
    }
    IsAnswered = this->waitForAnswer(Sequence, this->Limits.IndirectTimeout);
  }
  this->Open.erase(Sequence);
  this->Answered.erase(Sequence);
  if (IsAnswered)
    return;
  if (auto Rumor = this->Table.suspect(Host, this->Tasks.Now())) {
    this->Queue.add(*Rumor, this->fleetSize());
    this->changed();
  }
}

void Membership::probeFor(HostId Asking, const PingRequest &Request) {
  std::uint64_t Sequence = ++this->LastSequence;
  this->Open.insert(Sequence);
  this->sendProbe(Request.Host, Kind::Ping, Sequence);
  if (this->waitForAnswer(Sequence, this->Limits.AcknowledgeTimeout) &&
      !this->IsStopping)
    this->sendProbe(Asking, Kind::Acknowledgement, Request.Sequence);
  this->Open.erase(Sequence);
  this->Answered.erase(Sequence);
}

void Membership::sendProbe(HostId To, Kind What, std::uint64_t Sequence) {
  ProbeMessage Message{
      Sequence, this->Notices.digest(this->Tasks.Now()), {this->Table.self()}};
  // A host that is held for dead or suspect is told so, to state the contrary.
  auto Believed = this->Table.find(To);
  if (Believed && Believed->State != HostState::Alive && Believed->Run != 0)
    Message.Rumors.push_back(*Believed);
  for (auto &Rumor : this->Queue.take(this->Limits.RumorsPerMessage))
    Message.Rumors.push_back(std::move(Rumor));
  this->Hooks.Send(To, What, encodeMessage(Message));
}

void Membership::sendNotices(HostId To, bool WantsAnswer) {
  NoticesMessage Message{this->Notices.all(this->Tasks.Now()), WantsAnswer};
  if (Message.Notices.size() > MaxNoticesPerDatagram)
    this->Hooks.SendReliably(To, Kind::Notices, encodeMessage(Message));
  else
    this->Hooks.Send(To, Kind::Notices, encodeMessage(Message));
}

Result<void> Membership::received(const Incarnation &Sender, Kind What,
                                  std::string_view Body) {
  this->Table.heard(Sender, this->Tasks.Now());
  switch (What) {
  case Kind::Ping: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<ProbeMessage>(Body));
    this->takeProbe(Sender, Message);
    this->sendProbe(Sender.Host, Kind::Acknowledgement, Message.Sequence);
    return success();
  }
  case Kind::Acknowledgement: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<ProbeMessage>(Body));
    this->takeProbe(Sender, Message);
    if (this->Open.contains(Message.Sequence)) {
      this->Answered.insert(Message.Sequence);
      this->AnswerCame.notify();
    }
    return success();
  }
  case Kind::PingRequest: {
    BOOST_OUTCOME_TRY(Request, decodeMessage<PingRequest>(Body));
    this->Tasks.Spawn([this, Asking = Sender.Host, Request] {
      this->probeFor(Asking, Request);
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
    this->takeTable(Sender.Host, Message);
    return success();
  }
  case Kind::Notices: {
    BOOST_OUTCOME_TRY(Message, decodeMessage<NoticesMessage>(Body));
    this->takeNotices(Sender.Host, Message);
    return success();
  }
  }
  return PeerError::UnknownKind;
}

void Membership::takeProbe(const Incarnation &Sender,
                           const ProbeMessage &Message) {
  this->takeRumors(Message.Rumors);
  if (Message.NoticesDigest != this->Notices.digest(this->Tasks.Now()))
    this->sendNotices(Sender.Host, true);
}

void Membership::takeRumors(const std::vector<HostRumor> &Rumors) {
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
    this->changed();
}

void Membership::takeTable(HostId Sender, const TableMessage &Message) {
  this->takeRumors(Message.Rumors);
  if (Message.WantsAnswer)
    this->sendTable(Sender, false);
}

void Membership::sendTable(HostId To, bool WantsAnswer) {
  std::vector<HostRumor> All = this->Table.all();
  for (std::size_t At = 0; At < All.size(); At += MaxRumorsPerTablePart) {
    std::size_t End = std::min(All.size(), At + MaxRumorsPerTablePart);
    TableMessage Part{{All.begin() + static_cast<std::ptrdiff_t>(At),
                       All.begin() + static_cast<std::ptrdiff_t>(End)},
                      WantsAnswer && End == All.size()};
    this->Hooks.SendReliably(To, Kind::Table, encodeMessage(Part));
  }
}

void Membership::takeNotices(HostId Sender, const NoticesMessage &Message) {
  bool HasNews = false;
  for (const auto &Notice : Message.Notices)
    HasNews |= this->Notices.apply(Notice, this->Tasks.Now());
  if (Message.WantsAnswer)
    this->sendNotices(Sender, false);
  if (!HasNews)
    return;
  this->spreadNotices();
  this->changed();
}

} // namespace bergamothook
