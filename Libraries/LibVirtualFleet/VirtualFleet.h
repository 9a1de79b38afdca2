/// \file
/// A few hosts in one process over a virtual link and an in-memory log, for
/// tests and experiments.

#ifndef BERGAMOTHOOK_LIBVIRTUALFLEET_VIRTUALFLEET_H
#define BERGAMOTHOOK_LIBVIRTUALFLEET_VIRTUALFLEET_H

#include "LibFleet/FleetNode.h"
#include "LibStandin/MemoryLogHooks.h"
#include "LibStandin/VirtualNetwork.h"
#include "LibTask/VirtualRuntime.h"

namespace bergamothook {

/// The hosts are numbered from 0. They share one log and one platform's list,
/// both of which can fail for all of them or for single ones.
class VirtualFleet {
public:
  VirtualFleet(std::size_t Hosts, std::uint64_t Seed,
               FleetNodeLimits Limits = {});
  ~VirtualFleet();

  VirtualFleet(const VirtualFleet &) = delete;
  VirtualFleet &operator=(const VirtualFleet &) = delete;

  /// Starts host \p Index, as a new run if it ran before.
  void startHost(std::size_t Index);
  void startAll();

  /// Ends host \p Index without a word to the others.
  void killHost(std::size_t Index);

  bool isRunning(std::size_t Index) const {
    return this->Nodes[Index] != nullptr;
  }
  FleetNode &node(std::size_t Index) { return *this->Nodes[Index]; }
  std::size_t size() const { return this->Nodes.size(); }

  static std::string nameOf(std::size_t Index);
  static HostId idOf(std::size_t Index);
  /// The run of a host, which has no order over its runs.
  std::uint64_t runOf(std::size_t Index) const { return this->Runs[Index]; }

  /// Publishes edits at host \p Index against its own revision, and waits on
  /// the virtual clock for the verdict.
  Result<ConfigVerdict> publish(std::size_t Index, const std::string &Edits,
                                Duration Patience = std::chrono::seconds(10));

  /// Whether every running host is ready and at revision \p At or above.
  bool isInForce(Revision At) const;

  /// The running hosts that have been told that a later run replaced them.
  std::set<std::size_t> Replaced;

  VirtualRuntime Simulated;
  MemoryLog Log;
  VirtualNetwork Link;
  /// The hosts that can't reach the log.
  std::set<std::size_t> CutFromLog;
  /// What the platform's list says now.
  MemberList List;
  std::uint64_t LogReads = 0;

private:
  FleetNodeHooks hooksOf(std::size_t Index);
  HostRumor rumorOf(std::size_t Index) const;

  Random Dice;
  FleetNodeLimits Limits;
  std::vector<std::unique_ptr<FleetNode>> Nodes;
  std::vector<std::uint64_t> Runs;
  /// Stopped nodes, whose tasks may not have ended yet.
  std::vector<std::unique_ptr<FleetNode>> Ended;
  std::uint64_t LastChange = 0;
};

} // namespace bergamothook

#endif
