/// \file
/// The hosts of the fleet as one host knows them, and which of them hold the
/// tokens of a partition of teams.

#ifndef BERGAMOTHOOK_LIBLOAN_HOSTROSTER_H
#define BERGAMOTHOOK_LIBLOAN_HOSTROSTER_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamothook {

/// What a host says of itself.
struct RosterHost {
  std::string Name;
  std::string FailureDomain;
  /// IP:PORT for messages between hosts.
  std::string Address;
  /// Tells this run of the host's process from others.
  std::uint64_t Run = 0;

  HostId id() const { return idOfName<HostId>(this->Name); }

  bool operator==(const RosterHost &) const = default;
};

struct RosterPolicy {
  /// How long a silent host is passed over before it is asked whether it is
  /// back. Doubles with each probe that stays unanswered.
  Duration FirstPause = std::chrono::milliseconds(500);
  Duration LongestPause = std::chrono::seconds(20);
};

/// Every failure domain has one home for a partition: the first of its hosts
/// that answer, in an order that all hosts compute alike. So the number of
/// processes that hold tokens of a team does not grow with the fleet. Homes
/// need not be agreed on: two hosts that both think to be home hold two shares,
/// and the log keeps the sum within the budget.
class HostRoster {
public:
  HostRoster(RosterHost Self, RosterPolicy Policy);

  /// Takes the newest entry of a host. Another run of it is not silent.
  void put(const RosterHost &Host);

  /// Takes the entries of all hosts in place of those known.
  void replaceAll(const std::vector<RosterHost> &Hosts);

  /// Removes a host that left. The own entry stays.
  void remove(const std::string &Name);

  /// A host did not answer. \returns whether it counted as well before.
  bool onSilent(HostId Host, TimePoint Now);

  /// A host was heard. \returns whether it had been silent.
  bool onHeard(HostId Host);

  /// A host says that it is leaving.
  void onLeaving(HostId Host, TimePoint Now);

  /// The own host takes no new part in anything.
  void beginStop();

  /// The homes of \p Partition, the one in the own failure domain first.
  const std::vector<HostId> &homes(unsigned Partition);

  /// The homes that there would be without the hosts \p Without.
  std::vector<HostId> homesWithout(unsigned Partition,
                                   const std::set<HostId> &Without) const;

  bool isHome(unsigned Partition);

  /// Silent hosts that are to be asked now whether they are back.
  std::vector<HostId> takeProbes(TimePoint Now);

  /// Null for a host that is not known.
  const RosterHost *find(HostId Host) const;

  const RosterHost &self() const { return this->Self; }

  /// Hosts that are known, the own and the silent ones among them.
  std::size_t hosts() const { return this->Hosts.size(); }
  std::size_t silentHosts() const;
  std::size_t failureDomains() const;

private:
  struct Entry {
    RosterHost Host;
    bool IsSilent = false;
    /// It said so itself, and still sends messages.
    bool IsLeaving = false;
    TimePoint ProbeAt{};
    Duration Pause{};
  };

  void silence(Entry &Of, Duration Pause, TimePoint Now);

  RosterHost Self;
  RosterPolicy Policy;
  std::map<HostId, Entry> Hosts;
  /// The homes of each partition that was asked for since the last change.
  std::map<unsigned, std::vector<HostId>> Known;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
