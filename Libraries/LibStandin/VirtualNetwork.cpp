#include "LibStandin/VirtualNetwork.h"

namespace bergamothook {

namespace {
constexpr Duration IdleWait = std::chrono::seconds(1);
} // namespace

VirtualNetwork::VirtualNetwork(Runtime Tasks, std::uint64_t Seed)
    : Tasks(std::move(Tasks)), Rng(Seed) {}

void VirtualNetwork::attach(HostId Host, Receive Datagram, Receive Stream) {
  this->Hosts[Host] = {std::move(Datagram), std::move(Stream)};
}

void VirtualNetwork::detach(HostId Host) { this->Hosts.erase(Host); }

void VirtualNetwork::pause(HostId Host) { this->Paused.try_emplace(Host); }

void VirtualNetwork::resume(HostId Host) {
  auto Queued = this->Paused.extract(Host);
  if (Queued.empty())
    return;
  for (auto &Received : Queued.mapped())
    this->deliver(std::move(Received));
}

void VirtualNetwork::partition(std::set<HostId> Isolated) {
  this->IsolatedHosts = std::move(Isolated);
}

void VirtualNetwork::heal() { this->IsolatedHosts.clear(); }

void VirtualNetwork::cut(HostId From, HostId To, bool IsBlocked) {
  if (IsBlocked)
    this->BlockedLinks.insert({From, To});
  else
    this->BlockedLinks.erase({From, To});
}

bool VirtualNetwork::isBlocked(HostId From, HostId To) const {
  return this->Paused.contains(From) ||
         this->IsolatedHosts.contains(From) !=
             this->IsolatedHosts.contains(To) ||
         this->BlockedLinks.contains({From, To});
}

void VirtualNetwork::sendDatagram(HostId From, HostId To, std::string Bytes) {
  ++this->Datagrams;
  this->Bytes += Bytes.size();
  int Copies = this->Rng.chance(this->Faults.Duplication) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (this->isBlocked(From, To) || this->Rng.chance(this->Faults.Loss))
      continue;
    Duration Extra{};
    if (this->Faults.Jitter > Duration::zero())
      Extra = Duration(this->Rng.below(this->Faults.Jitter.count()));
    this->schedule(this->Faults.Delay + Extra, {From, To, false, Bytes});
  }
}

bool VirtualNetwork::sendStream(HostId From, HostId To, std::string Bytes) {
  if (this->isBlocked(From, To) || this->isBlocked(To, From) ||
      !this->Hosts.contains(To))
    return false;
  ++this->StreamFrames;
  this->Bytes += Bytes.size();
  this->schedule(this->Faults.Delay, {From, To, true, std::move(Bytes)});
  return true;
}

void VirtualNetwork::schedule(Duration After, Message Sent) {
  this->InFlight.emplace(this->Tasks.Now() + After, std::move(Sent));
  this->Scheduled.notify();
}

void VirtualNetwork::deliver(Message Received) {
  if (auto Queued = this->Paused.find(Received.To);
      Queued != this->Paused.end()) {
    Queued->second.push_back(std::move(Received));
    return;
  }
  auto Found = this->Hosts.find(Received.To);
  if (Found == this->Hosts.end())
    return;
  Receive Handler =
      Received.IsStream ? Found->second.Stream : Found->second.Datagram;
  Handler(Received.From, std::move(Received.Bytes));
}

void VirtualNetwork::start() {
  this->Tasks.Spawn([this] { this->run(); });
}

void VirtualNetwork::run() {
  while (!this->IsStopping) {
    TimePoint Now = this->Tasks.Now();
    while (!this->InFlight.empty() && this->InFlight.begin()->first <= Now) {
      auto Next = this->InFlight.extract(this->InFlight.begin());
      this->deliver(std::move(Next.mapped()));
    }
    TimePoint Wake =
        this->InFlight.empty() ? Now + IdleWait : this->InFlight.begin()->first;
    std::uint64_t Seen = this->Scheduled.generation();
    if (this->InFlight.empty() || this->InFlight.begin()->first > Now)
      this->Tasks.WaitOn(this->Scheduled, Seen, Wake);
  }
}

void VirtualNetwork::stop() {
  this->IsStopping = true;
  this->Scheduled.notify();
}

} // namespace bergamothook
