#include "LibStandin/VirtualNetwork.h"

namespace bergamothook {

namespace {
constexpr Duration IdleWait = std::chrono::seconds(1);
} // namespace

VirtualNetwork::VirtualNetwork(Runtime Tasks, std::uint64_t Seed)
    : Tasks(std::move(Tasks)), Dice(Seed) {}

void VirtualNetwork::attach(HostId Host, Receive Datagram, Receive Stream) {
  this->Hosts[Host] = {std::move(Datagram), std::move(Stream)};
}

void VirtualNetwork::detach(HostId Host) { this->Hosts.erase(Host); }

void VirtualNetwork::pause(HostId Host) { this->Paused.try_emplace(Host); }

void VirtualNetwork::resume(HostId Host) {
  auto Kept = this->Paused.extract(Host);
  if (Kept.empty())
    return;
  for (auto &Arrived : Kept.mapped())
    this->deliver(std::move(Arrived));
}

void VirtualNetwork::partition(std::set<HostId> Side) {
  this->Side = std::move(Side);
}

void VirtualNetwork::heal() { this->Side.clear(); }

void VirtualNetwork::cut(HostId From, HostId To, bool IsCut) {
  if (IsCut)
    this->Cuts.insert({From, To});
  else
    this->Cuts.erase({From, To});
}

bool VirtualNetwork::isCut(HostId From, HostId To) const {
  return this->Paused.contains(From) ||
         this->Side.contains(From) != this->Side.contains(To) ||
         this->Cuts.contains({From, To});
}

void VirtualNetwork::sendDatagram(HostId From, HostId To, std::string Bytes) {
  ++this->Datagrams;
  this->Bytes += Bytes.size();
  int Copies = this->Dice.chance(this->Faults.Duplication) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (this->isCut(From, To) || this->Dice.chance(this->Faults.Loss))
      continue;
    Duration Extra{};
    if (this->Faults.Jitter > Duration::zero())
      Extra = Duration(this->Dice.below(this->Faults.Jitter.count()));
    this->schedule(this->Faults.Delay + Extra, {From, To, false, Bytes});
  }
}

bool VirtualNetwork::sendStream(HostId From, HostId To, std::string Bytes) {
  if (this->isCut(From, To) || this->isCut(To, From) ||
      !this->Hosts.contains(To))
    return false;
  ++this->StreamFrames;
  this->Bytes += Bytes.size();
  this->schedule(this->Faults.Delay, {From, To, true, std::move(Bytes)});
  return true;
}

void VirtualNetwork::schedule(Duration After, Parcel Sent) {
  this->OnTheWay.emplace(this->Tasks.Now() + After, std::move(Sent));
  this->Scheduled.notify();
}

void VirtualNetwork::deliver(Parcel Arrived) {
  if (auto Kept = this->Paused.find(Arrived.To); Kept != this->Paused.end()) {
    Kept->second.push_back(std::move(Arrived));
    return;
  }
  auto Known = this->Hosts.find(Arrived.To);
  if (Known == this->Hosts.end())
    return;
  Receive Take =
      Arrived.IsStream ? Known->second.Stream : Known->second.Datagram;
  Take(Arrived.From, std::move(Arrived.Bytes));
}

void VirtualNetwork::start() {
  this->Tasks.Spawn([this] { this->run(); });
}

void VirtualNetwork::run() {
  while (!this->IsStopping) {
    TimePoint Now = this->Tasks.Now();
    while (!this->OnTheWay.empty() && this->OnTheWay.begin()->first <= Now) {
      auto Next = this->OnTheWay.extract(this->OnTheWay.begin());
      this->deliver(std::move(Next.mapped()));
    }
    TimePoint Wake =
        this->OnTheWay.empty() ? Now + IdleWait : this->OnTheWay.begin()->first;
    std::uint64_t Seen = this->Scheduled.generation();
    if (this->OnTheWay.empty() || this->OnTheWay.begin()->first > Now)
      this->Tasks.WaitOn(this->Scheduled, Seen, Wake);
  }
}

void VirtualNetwork::stop() {
  this->IsStopping = true;
  this->Scheduled.notify();
}

} // namespace bergamothook
