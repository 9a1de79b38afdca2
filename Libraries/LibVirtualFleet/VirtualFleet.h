/// \file
/// A simulated fleet in one process, with a virtual network and an in-memory
/// log, for tests and experiments.

#ifndef BERGAMOTHOOK_LIBVIRTUALFLEET_VIRTUALFLEET_H
#define BERGAMOTHOOK_LIBVIRTUALFLEET_VIRTUALFLEET_H

#include "LibFleet/FleetNode.h"
#include "LibStandin/MemoryLogHooks.h"
#include "LibStandin/VirtualNetwork.h"
#include "LibTask/VirtualRuntime.h"

namespace bergamothook {

/// The hosts are numbered from 0. They share one log, which can fail for all
/// hosts or for single ones, and one platform's list.
class VirtualFleet {
public:
  VirtualFleet(std::size_t Hosts, std::uint64_t Seed,
               FleetNodeLimits Limits = {});
  ~VirtualFleet();

  VirtualFleet(const VirtualFleet &) = delete;
  VirtualFleet &operator=(const VirtualFleet &) = delete;

  /// Starts host \p Index as a new run, and kills its current run if there is
  /// one.
  void startHost(std::size_t Index);
  void startAll();

  /// Stops host \p Index without notifying the other hosts.
  void killHost(std::size_t Index);

  bool isRunning(std::size_t Index) const {
    return this->Nodes[Index] != nullptr;
  }
  FleetNode &node(std::size_t Index) { return *this->Nodes[Index]; }
  std::size_t size() const { return this->Nodes.size(); }

  static std::string nameOf(std::size_t Index);
  static HostId idOf(std::size_t Index);
  /// The latest run of a host. The runs of a host are not ordered.
  std::uint64_t runOf(std::size_t Index) const { return this->Runs[Index]; }

  /// Publishes edits through host \p Index, based on that host's revision, and
  /// runs the simulation until there is a verdict.
  Result<ConfigVerdict> publish(std::size_t Index, const std::string &Edits,
                                Duration Timeout = std::chrono::seconds(10));

  /// Whether every running host is ready and at revision \p Minimum or above.
  bool isInForce(Revision Minimum) const;

  /// The hosts that have been notified that a later run replaced them.
  std::set<std::size_t> Replaced;

  VirtualRuntime Simulated;
  MemoryLog Log;
  VirtualNetwork Link;
  /// The hosts that can't reach the log.
  std::set<std::size_t> CutFromLog;
  /// The current content of the platform's list.
  MemberList List;
  std::uint64_t LogReads = 0;

private:
  FleetNodeHooks hooksOf(std::size_t Index);
  HostRumor rumorOf(std::size_t Index) const;

  Random Generator;
  FleetNodeLimits Limits;
  std::vector<std::unique_ptr<FleetNode>> Nodes;
  std::vector<std::uint64_t> Runs;
  /// Stopped nodes, whose tasks may not have ended yet.
  std::vector<std::unique_ptr<FleetNode>> StoppedNodes;
  std::uint64_t LastChangeId = 0;
};

} // namespace bergamothook

#endif
