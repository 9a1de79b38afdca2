/// \file
/// One host's view of all hosts in the fleet, and of which hosts are the homes
/// of a partition, i.e. hold the tokens of its teams.

#ifndef BERGAMOTHOOK_LIBLOAN_HOSTROSTER_H
#define BERGAMOTHOOK_LIBLOAN_HOSTROSTER_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamothook {

/// What a host publishes about itself.
struct RosterHost {
  std::string Name;
  std::string FailureDomain;
  /// IP:PORT for messages between hosts.
  std::string Address;
  /// Identifies one run of the host's process.
  std::uint64_t Run = 0;

  HostId id() const { return idOfName<HostId>(this->Name); }

  bool operator==(const RosterHost &) const = default;
};

struct RosterPolicy {
  /// Time before the first probe of a silent host. Doubles with each unanswered
  /// probe.
  Duration InitialProbeInterval = std::chrono::milliseconds(500);
  Duration MaxProbeInterval = std::chrono::seconds(20);
};

/// Every failure domain has one home for a partition: the responsive host that
/// ranks first in rendezvous hashing, an order that all hosts compute alike.
/// The number of processes that hold tokens of a team therefore does not grow
/// with the fleet. Hosts need not agree on homes: two hosts that both consider
/// themselves home hold two shares, and the log keeps the sum within the
/// budget.
class HostRoster {
public:
  HostRoster(RosterHost Self, RosterPolicy Policy);

  /// Adds or replaces the entry of a host. A new run of a host is not silent.
  void put(const RosterHost &Host);

  /// Replaces the entries of all hosts.
  void replaceAll(const std::vector<RosterHost> &Hosts, TimePoint Now);

  /// Removes a host that left. Never removes the entry of this host.
  void remove(const std::string &Name, TimePoint Now);

  /// Records that every host that started with this one has had the time to
  /// register. Until then, the number of hosts is not known.
  void setSettled(TimePoint Now);

  /// \returns when setSettled() was first called.
  const std::optional<TimePoint> &settledAt() const { return this->SettledAt; }

  /// Marks a host that did not answer. \returns false if it already was silent,
  /// is unknown or is this host.
  bool markSilent(HostId Host, TimePoint Now);

  /// Marks a host from which a message arrived. \returns whether it had been
  /// silent.
  bool markResponsive(HostId Host);

  /// Marks a host that announced that it is leaving.
  void markLeaving(HostId Host, TimePoint Now);

  /// This host is no longer home of any partition.
  void beginStop();

  /// \returns the homes of \p Partition, starting with the one in this host's
  /// failure domain.
  const std::vector<HostId> &homes(unsigned Partition);

  /// \returns the homes of \p Partition if the hosts in \p Without are ignored.
  std::vector<HostId> homesWithout(unsigned Partition,
                                   const std::set<HostId> &Without) const;

  bool isHome(unsigned Partition);

  /// \returns the first \p Count hosts in the order of rendezvous hashing for
  /// \p Key, silent ones included. Hosts removed later than \p RemovedAfter are
  /// included too.
  std::vector<HostId> firstHosts(std::string_view Key, std::size_t Count,
                                 TimePoint RemovedAfter) const;

  /// \returns the responsive host that ranks first for \p Key; this host, if
  /// there is no other.
  HostId firstResponsive(std::string_view Key) const;

  /// \returns whether \p Left ranks before \p Right for \p Key. Unknown hosts
  /// rank last.
  bool ranksBefore(std::string_view Key, HostId Left, HostId Right) const;

  /// \returns whether a host is listed, not silent and not leaving.
  bool isResponsive(HostId Host) const;

  /// \returns the responsive hosts other than this one.
  std::vector<HostId> otherResponsiveHosts() const;

  /// \returns the silent hosts that are due for a probe, and schedules their
  /// next one.
  std::vector<HostId> takeDueProbes(TimePoint Now);

  /// \returns null for an unknown host.
  const RosterHost *find(HostId Host) const;

  const RosterHost &self() const { return this->Self; }

  /// \returns the number of known hosts, including this one and silent ones.
  std::size_t hosts() const { return this->Hosts.size(); }
  std::size_t silentHosts() const;
  std::size_t failureDomains() const;

private:
  struct Entry {
    RosterHost Host;
    bool IsSilent = false;
    /// The host announced that it is leaving, but still sends messages.
    bool IsLeaving = false;
    TimePoint ProbeAt{};
    Duration ProbeInterval{};
  };

  void forget(HostId Host, TimePoint Now);
  void startProbing(Entry &HostEntry, Duration ProbeInterval, TimePoint Now);

  RosterHost Self;
  RosterPolicy Policy;
  std::map<HostId, Entry> Hosts;
  /// Homes by partition, computed since the last change.
  std::map<unsigned, std::vector<HostId>> CachedHomes;
  /// Hosts that were removed recently, with their names and times.
  std::map<HostId, std::pair<std::string, TimePoint>> RemovedHosts;
  std::optional<TimePoint> SettledAt;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
