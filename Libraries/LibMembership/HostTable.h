/// \file
/// One host's view of the states of the other hosts.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_HOSTTABLE_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_HOSTTABLE_H

#include "LibMembership/HostRumor.h"

#include <map>
#include <optional>

namespace bergamothook {

struct HostTableLimits {
  /// How long a host stays suspected before it is declared dead.
  Duration SuspectTimeout = std::chrono::seconds(2);
  /// How long a dead host is kept in the table.
  Duration DeadRetention = std::chrono::minutes(30);
};

/// The effect of a received rumor.
enum class RumorEffect {
  /// The rumor was known already, or is overridden by the table.
  None,
  /// The table has changed, and the rumor must be passed on.
  News,
  /// The rumor was wrong about this host, which has raised its counter above
  /// that of the rumor.
  Refuted,
  /// A later run has replaced this one, which must stop.
  Replaced,
};

/// The table of hosts. A host that restarts under the same identifier is a new
/// run; a rumor about an earlier run never applies to it.
class HostTable {
public:
  /// \p Self is the rumor of this host about itself. Its counter is the
  /// wall-clock time of its start, so that it is above the counters of earlier
  /// runs unless the clock has gone backwards. In that case the rumors about
  /// the earlier run raise it.
  HostTable(HostRumor Self, HostTableLimits Limits);

  RumorEffect apply(const HostRumor &Received, TimePoint Now);

  /// Adds a host of the platform's list, unless the table has it already.
  void addListed(HostId Host, FailureDomainId Domain, TimePoint Now);

  /// Records that a message from \p Sender was received.
  void markHeard(const Incarnation &Sender, TimePoint Now);

  /// Marks \p Host as suspected after a failed probe. \returns the rumor to
  /// pass on, if any.
  std::optional<HostRumor> suspect(HostId Host, TimePoint Now);

  /// Declares hosts dead whose suspect timeout has passed, and removes hosts
  /// that have been dead for DeadRetention. \returns the rumors to pass on.
  std::vector<HostRumor> expire(TimePoint Now);

  /// Marks this host as leaving.
  void leave();

  const HostRumor &self() const { return this->Self; }

  /// Whether work and messages may be sent to \p Host.
  bool isUsable(HostId Host) const;

  /// The current rumor about \p Host, or nothing for an unknown host.
  std::optional<HostRumor> find(HostId Host) const;

  /// The current rumors about all other hosts that are not dead.
  std::vector<HostRumor> present() const;

  /// All current rumors, including the one about this host.
  std::vector<HostRumor> all() const;

  /// A hash of the rumors about all hosts that are not dead. Equal tables have
  /// equal digests.
  std::uint64_t digest() const;

private:
  struct Entry {
    HostRumor Rumor;
    std::optional<TimePoint> SuspectedSince;
    TimePoint LastHeard{};
    TimePoint ChangedAt{};
  };

  RumorEffect applyToSelf(const HostRumor &Received);

  HostRumor Self;
  HostTableLimits Limits;
  std::map<HostId, Entry> Hosts;
};

} // namespace bergamothook

#endif
