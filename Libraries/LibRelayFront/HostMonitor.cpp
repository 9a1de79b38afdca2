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

void HostMonitor::measure() {
  HostUsage Usage;
  Usage.BytesReceived = this->Loop.traffic()->BytesReceived;
  Usage.BytesSent = this->Loop.traffic()->BytesSent;
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
            {"refused_fraction", this->Control.refusedFraction()}});
}

void HostMonitor::exportMetrics(Metrics &Stats) const {
  for (HostResource Resource : Resources)
    Stats.set(std::string("relay_host_utilization{resource=\"") +
                  nameOf(Resource) + "\"}",
              this->Control.utilization(Resource));
  Stats.set("relay_host_overloaded", this->Control.isOverloaded() ? 1 : 0);
  Stats.set("relay_host_refused_fraction", this->Control.refusedFraction());
  Stats.set("relay_link_bytes_received",
            static_cast<double>(this->Loop.traffic()->BytesReceived));
  Stats.set("relay_link_bytes_sent",
            static_cast<double>(this->Loop.traffic()->BytesSent));
}

} // namespace bergamothook
