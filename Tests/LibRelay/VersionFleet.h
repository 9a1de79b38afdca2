/// \file
/// Simulation of hosts that relay streams of targets of several software
/// versions, and of callers that resume streams that broke off.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAY_VERSIONFLEET_H
#define BERGAMOTHOOK_TESTS_LIBRELAY_VERSIONFLEET_H

#include "LibBase/Random.h"
#include "LibRelay/OriginExchange.h"
#include "LibTask/VirtualRuntime.h"

#include <memory>

namespace bergamothook {

struct VersionFleetSettings {
  int Hosts = 9;
  double StreamsPerSecond = 60;
  Duration MinStream = std::chrono::milliseconds(100);
  Duration MaxStream = std::chrono::seconds(3);
  /// How long after its end a caller resumes a stream, at most.
  Duration MaxResumeDelay = std::chrono::seconds(2);
  /// Lost messages between hosts, per hundred.
  std::uint64_t LostPerCent = 0;
  Duration StoreDelay = std::chrono::milliseconds(5);
  /// How long a call waits for a store that does not answer.
  Duration StoreTimeout = std::chrono::milliseconds(1500);
  VersionPolicy Versions;
};

struct VersionFleetResults {
  int Begun = 0;
  int NotBegun = 0;
  /// Calls that resume a stream, also at hosts that are killed meanwhile.
  int Resumptions = 0;
  /// Streams that a caller resumed while targets of their version served, and
  /// those of them that continued.
  int Resumed = 0;
  int Continued = 0;
  /// Streams that continued at another version.
  int Joined = 0;
  /// Calls of the store for versions and origins.
  int VersionReads = 0;
  int VersionWrites = 0;
  int OriginReads = 0;
  int OriginWrites = 0;
  int Messages = 0;
  /// The longest time that a resumption waited for its version.
  Duration LongestLookup{};
};

class VersionFleet {
public:
  VersionFleet(VersionFleetSettings Settings, std::uint64_t Seed);
  ~VersionFleet();
  VersionFleet(const VersionFleet &) = delete;
  VersionFleet &operator=(const VersionFleet &) = delete;

  void runFor(Duration Span);

  /// Changes how many targets of a version are in service.
  void setTargets(const std::string &Version, int Count);
  /// Kills hosts with indices from \p First to below \p End, which breaks their
  /// streams; start() starts them again.
  void kill(int First, int End);
  void start(int First, int End);
  /// Breaks this share of all streams, without any loss of a host.
  void breakStreams(double Share);
  void setStoreOut(bool IsOut) { this->IsStoreOut = IsOut; }
  /// The store refuses these hosts and serves the others.
  void turnAway(std::set<int> Refused) {
    this->TurnedAway = std::move(Refused);
  }
  /// Messages from hosts in \p From to hosts that are not in it are lost, and
  /// with \p BothWays also those to it.
  void cutPeers(std::set<int> From, bool BothWays) {
    this->CutPeers = std::move(From);
    this->IsCutBothWays = BothWays;
  }
  /// These hosts stand still: they do nothing, and what is sent to them waits.
  /// If \p IsSuspended, their steady clocks stand still too.
  void freeze(std::set<int> Hosts, bool IsSuspended);
  void setLostPerCent(std::uint64_t PerCent) {
    this->Settings.LostPerCent = PerCent;
  }
  /// Kills a host that takes itself off the list of hosts; those that reach the
  /// store forget it.
  void leave(int Index);
  /// \returns the hosts that are asked for the streams of one partition.
  std::set<int> homesOf(unsigned Partition);
  /// Cuts the hosts with indices below \p Below off from the others and from
  /// the store.
  void split(int Below) { this->SplitBelow = Below; }
  /// The store comes back from a copy of this age.
  void restoreStore(Duration Age);
  /// From now on, callers use few ids for all streams.
  void reuseIds() { this->ReusesIds = true; }

  VersionFleetResults Results;

private:
  struct Host {
    Host(VersionFleet &Fleet, int Index, std::uint64_t Run);
    std::uint64_t Run;
    /// How long the machine was suspended.
    Duration Suspended{};
    HostRoster Roster;
    VersionRegister Versions;
    std::map<std::uint16_t, PeerNode::Handler> Handlers;
    OriginExchange Origins;
    std::map<std::string, int> List;
    TimePoint ListReadAt{};
    TimePoint VersionsCheckAt{};
    TimePoint OriginWriteAt{};
    std::uint64_t VersionsEnd = 0;
    std::uint64_t Era = 0;
    std::map<unsigned, std::size_t> NextOrigin;
  };

  struct Stream {
    std::string Id;
    std::string Version;
    int Host = 0;
    TimePoint EndsAt{};
    int Resumptions = 0;
  };

  struct Message {
    int From = 0;
    int To = 0;
    std::uint16_t Kind = 0;
    std::string Body;
  };

  /// What the store holds.
  struct Content {
    std::map<std::string, VersionSet> Versions;
    std::uint64_t VersionsEnd = 0;
    std::map<unsigned, std::vector<StreamOrigin>> Origins;
  };

  void step();
  void stepHost(int Index);
  void readList(Host &Reader);
  /// Waits for the store. \returns the host, unless it was killed meanwhile or
  /// does not reach the store.
  Host *awaitStore(int Index);
  Result<void> readVersions(int Index);
  Result<void> readOrigins(int Index, unsigned Partition);
  void writeVersions(int Index);
  void beginStream();
  void breakOff(Stream Broken);
  void resume(Stream Broken);
  Runtime runtimeOf(const Host &Process);
  bool isCut(const Message &Sent) const;
  bool reachesStore(int Index) const {
    return !this->IsStoreOut && Index >= this->SplitBelow &&
           !this->TurnedAway.contains(Index) && !this->Frozen.contains(Index) &&
           this->Hosts[static_cast<std::size_t>(Index)];
  }
  Host *hostAt(int Index) {
    return this->Hosts[static_cast<std::size_t>(Index)].get();
  }
  int randomHost();
  Duration randomUpTo(Duration Limit);
  TimePoint now() const { return this->Simulated.now(); }

  VersionFleetSettings Settings;
  Random Rng;
  VirtualRuntime Simulated;
  std::map<HostId, int> IndexOfHost;
  std::vector<std::unique_ptr<Host>> Hosts;
  /// Tasks may still refer to hosts that were killed.
  std::vector<std::unique_ptr<Host>> KilledHosts;
  std::map<std::string, int> Targets;
  Content Store;
  std::deque<std::pair<TimePoint, Content>> Copies;
  std::uint64_t Era = 1;
  std::vector<Stream> Streams;
  std::multimap<TimePoint, Message> Network;
  std::multimap<TimePoint, Stream> Broken;
  std::uint64_t LastId = 0;
  std::uint64_t LastRun = 0;
  int SplitBelow = 0;
  std::set<int> TurnedAway;
  std::set<int> CutPeers;
  bool IsCutBothWays = false;
  std::set<int> Frozen;
  bool IsSuspended = false;
  bool IsStoreOut = false;
  bool ReusesIds = false;
  int ResumptionsInProgress = 0;
};

} // namespace bergamothook

#endif
