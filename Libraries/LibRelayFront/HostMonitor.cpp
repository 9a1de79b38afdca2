#include "LibRelayFront/HostMonitor.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr Duration MeasureInterval = std::chrono::milliseconds(200);

constexpr std::array Resources{HostResource::LinkReceive,
                               HostResource::LinkSend,
                               HostResource::Descriptors, HostResource::Memory};

} // namespace

HostMonitor::HostMonitor(NetRuntime &Loop, HostCapacity Capacity,
                         OverloadPolicy Policy, CompleteUsage Complete,
                         std::uint64_t Seed)
    : Loop(Loop), Tasks(Loop.hooks()), Complete(std::move(Complete)),
      Control(Policy, Capacity, Seed) {}

void HostMonitor::run(const std::function<bool()> &IsStopped) {
  while (!IsStopped()) {
    this->measure();
    this->Tasks.sleepUntil(this->Tasks.Now() + MeasureInterval);
  }
}

HostUsage HostMonitor::linkUsage() const {
  const NetTraffic &Service = *this->Loop.traffic(TrafficClass::Service);
  const NetTraffic &Own = *this->Loop.traffic(TrafficClass::Own);
  HostUsage Usage;
  Usage.BytesReceived = Service.BytesReceived + Own.BytesReceived;
  Usage.BytesSent = Service.BytesSent + Own.BytesSent;
  Usage.OwnBytesReceived = Own.BytesReceived;
  Usage.OwnBytesSent = Own.BytesSent;
  return Usage;
}

void HostMonitor::measure() {
  HostUsage Usage = this->linkUsage();
  this->Complete(Usage);
  std::optional<HostResource> Before = this->Control.overloadedBy();
  this->Control.update(Usage, this->Tasks.Now());
  std::optional<HostResource> After = this->Control.overloadedBy();
  if (Before == After)
    return;
  HostResource Resource = After.value_or(Before.value_or(HostResource::Memory));
  logEvent(LogLevel::Warning,
           After ? "host_overloaded" : "host_no_longer_overloaded",
           {{"resource", nameOf(Resource)},
            {"utilization", this->Control.utilization(Resource)},
            {"own_share", this->Control.ownShare(Resource)},
            {"refused_fraction", this->Control.refusedFraction()}});
}

void HostMonitor::exportMetrics(Metrics &Stats) const {
  for (HostResource Resource : Resources)
    Stats.set(std::string("relay_host_utilization{resource=\"") +
                  nameOf(Resource) + "\"}",
              this->Control.utilization(Resource));
  Stats.set("relay_host_overloaded", this->Control.isOverloaded() ? 1 : 0);
  Stats.set("relay_host_refused_fraction", this->Control.refusedFraction());
  for (HostResource Resource : LinkDirections)
    Stats.set(std::string("relay_host_own_share{resource=\"") +
                  nameOf(Resource) + "\"}",
              this->Control.ownShare(Resource));
  HostUsage Link = this->linkUsage();
  Stats.set("relay_link_bytes_received",
            static_cast<double>(Link.BytesReceived));
  Stats.set("relay_link_bytes_sent", static_cast<double>(Link.BytesSent));
  Stats.set("relay_link_own_bytes_received",
            static_cast<double>(Link.OwnBytesReceived));
  Stats.set("relay_link_own_bytes_sent",
            static_cast<double>(Link.OwnBytesSent));
}

} // namespace bergamothook
