/// \file
/// The network between hosts, kept in memory, with the faults of a real one.

#ifndef BERGAMOTHOOK_LIBSTANDIN_VIRTUALNETWORK_H
#define BERGAMOTHOOK_LIBSTANDIN_VIRTUALNETWORK_H

#include "LibBase/Ids.h"
#include "LibBase/Random.h"
#include "LibTask/Runtime.h"

#include <map>
#include <set>
#include <string>

namespace bergamothook {

/// Faults of the network. They can be changed at any time.
struct NetworkFaults {
  /// The time that everything takes from host to host.
  Duration Delay = std::chrono::milliseconds(1);
  /// Up to this much is added at random to a datagram, so that datagrams
  /// overtake one another.
  Duration Jitter = Duration::zero();
  /// The share of datagrams that are lost.
  double Loss = 0;
  /// The share of datagrams that arrive twice.
  double Duplication = 0;
};

/// Carries bytes between hosts on the clock of a runtime. Datagrams suffer the
/// faults; streams keep their order and lose nothing, unless the hosts are cut
/// off from each other. Tasks of one runtime use it; it must outlive them.
class VirtualNetwork {
public:
  using Receive = std::function<void(HostId From, std::string Bytes)>;

  VirtualNetwork(Runtime Tasks, std::uint64_t Seed);

  /// Adds a host, or replaces it by a later run of it. What is on its way
  /// reaches the later run.
  void attach(HostId Host, Receive Datagram, Receive Stream);

  /// Takes a host away.
  void detach(HostId Host);

  /// Keeps what comes for \p Host until it is resumed, and lets it send
  /// nothing, as for a process that is stopped.
  void pause(HostId Host);
  void resume(HostId Host);

  void sendDatagram(HostId From, HostId To, std::string Bytes);

  /// \returns whether there is a connection to send on.
  bool sendStream(HostId From, HostId To, std::string Bytes);

  /// Cuts the hosts of \p Side off from all others. Later calls replace it.
  void partition(std::set<HostId> Side);
  /// Ends the partition.
  void heal();
  /// Cuts one direction between two hosts, or joins it again.
  void cut(HostId From, HostId To, bool IsCut);

  /// Starts the task that delivers. It ends by stop().
  void start();
  void stop();

  NetworkFaults Faults;
  std::uint64_t Datagrams = 0;
  std::uint64_t StreamFrames = 0;
  std::uint64_t Bytes = 0;

private:
  struct Parcel {
    HostId From;
    HostId To;
    bool IsStream = false;
    std::string Bytes;
  };

  struct Attached {
    Receive Datagram;
    Receive Stream;
  };

  bool isCut(HostId From, HostId To) const;
  void schedule(Duration After, Parcel Sent);
  void deliver(Parcel Arrived);
  void run();

  Runtime Tasks;
  Random Dice;
  std::map<HostId, Attached> Hosts;
  std::multimap<TimePoint, Parcel> OnTheWay;
  std::map<HostId, std::vector<Parcel>> Paused;
  std::set<HostId> Side;
  std::set<std::pair<HostId, HostId>> Cuts;
  Event Scheduled;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
