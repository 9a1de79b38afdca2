/// \file
/// An in-memory network between hosts with fault injection.

#ifndef BERGAMOTHOOK_LIBSTANDIN_VIRTUALNETWORK_H
#define BERGAMOTHOOK_LIBSTANDIN_VIRTUALNETWORK_H

#include "LibBase/Ids.h"
#include "LibBase/Random.h"
#include "LibTask/Runtime.h"

#include <map>
#include <set>
#include <string>

namespace bergamothook {

/// Injected faults. They can be changed at any time.
struct NetworkFaults {
  /// The one-way delay between hosts.
  Duration Delay = std::chrono::milliseconds(1);
  /// The maximum random delay added to a datagram. It reorders datagrams.
  Duration Jitter = Duration::zero();
  /// The probability that a datagram is lost.
  double Loss = 0;
  /// The probability that a datagram is duplicated.
  double Duplication = 0;
};

/// Delivers messages between hosts on the clock of a runtime. Datagrams are
/// subject to jitter, loss and duplication; streams are reliable and ordered as
/// long as the hosts are connected. It is used by the tasks of one runtime and
/// must outlive them.
class VirtualNetwork {
public:
  using Receive = std::function<void(HostId From, std::string Bytes)>;

  VirtualNetwork(Runtime Tasks, std::uint64_t Seed);

  /// Adds a host, or replaces it by a later run. Messages in flight are
  /// delivered to the later run.
  void attach(HostId Host, Receive Datagram, Receive Stream);

  /// Removes a host. Messages that arrive for it while it is absent are
  /// dropped.
  void detach(HostId Host);

  /// Simulates a stopped process: messages to \p Host are queued until
  /// resume(), and it can't send.
  void pause(HostId Host);
  void resume(HostId Host);

  void sendDatagram(HostId From, HostId To, std::string Bytes);

  /// \returns whether \p From and \p To are connected.
  bool sendStream(HostId From, HostId To, std::string Bytes);

  /// Partitions the hosts in \p Isolated from all others. A later call replaces
  /// the partition.
  void partition(std::set<HostId> Isolated);
  /// Ends the partition.
  void heal();
  /// Blocks or unblocks one direction between two hosts.
  void cut(HostId From, HostId To, bool IsBlocked);

  /// Starts the delivery task, which runs until stop().
  void start();
  void stop();

  NetworkFaults Faults;
  std::uint64_t Datagrams = 0;
  std::uint64_t StreamFrames = 0;
  std::uint64_t Bytes = 0;

private:
  struct Message {
    HostId From;
    HostId To;
    bool IsStream = false;
    std::string Bytes;
  };

  struct Receivers {
    Receive Datagram;
    Receive Stream;
  };

  bool isBlocked(HostId From, HostId To) const;
  void schedule(Duration After, Message Sent);
  void deliver(Message Received);
  void run();

  Runtime Tasks;
  Random Rng;
  std::map<HostId, Receivers> Hosts;
  std::multimap<TimePoint, Message> InFlight;
  std::map<HostId, std::vector<Message>> Paused;
  std::set<HostId> IsolatedHosts;
  std::set<std::pair<HostId, HostId>> BlockedLinks;
  Event Scheduled;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
