/// \file
/// What one host believes of the others, and how it comes to that.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_HOSTTABLE_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_HOSTTABLE_H

#include "LibMembership/HostRumor.h"

#include <map>
#include <optional>

namespace bergamothook {

struct HostTableLimits {
  /// How long a suspected host has to show that it lives.
  Duration SuspectTimeout = std::chrono::seconds(2);
  /// How long a dead host is remembered.
  Duration DeadRetention = std::chrono::minutes(30);
};

/// What a rumor meant.
enum class RumorEffect {
  /// It was known, or overridden.
  None,
  /// It is to be passed on.
  News,
  /// It was about this host and wrong; this host has stated the contrary.
  Refuted,
  /// A later run has taken this host's place: this run is to stop.
  Replaced,
};

/// The table of hosts. A host that starts again under the same identifier is a
/// new run; a statement about the earlier run never holds for it.
class HostTable {
public:
  /// \p Self is the statement of this host about itself; its counter is the
  /// wall time of its start, so that it is above that of earlier runs unless
  /// the clock went back. If it did, the rumors of the earlier run raise it.
  HostTable(HostRumor Self, HostTableLimits Limits);

  RumorEffect apply(const HostRumor &Told, TimePoint Now);

  /// Notes a host of the platform's list that no rumor told of yet.
  void addListed(HostId Host, FailureDomainId Domain, TimePoint Now);

  /// Notes that a message of \p Sender came in.
  void heard(const Incarnation &Sender, TimePoint Now);

  /// Notes that \p Host did not answer. \returns the rumor to pass on.
  std::optional<HostRumor> suspect(HostId Host, TimePoint Now);

  /// Declares suspected hosts dead whose time has passed, and forgets those
  /// dead for long. \returns the rumors to pass on.
  std::vector<HostRumor> expire(TimePoint Now);

  /// States that this host is about to stop.
  void leave();

  const HostRumor &self() const { return this->Self; }

  /// Whether work and messages may be sent to \p Host.
  bool isUsable(HostId Host) const;

  /// The statement in force; nothing for an unknown host.
  std::optional<HostRumor> find(HostId Host) const;

  /// The hosts that are not dead, other than this one.
  std::vector<HostRumor> present() const;

  /// All statements, with this host's own.
  std::vector<HostRumor> all() const;

  /// The same on hosts that believe the same of the hosts that live.
  std::uint64_t digest() const;

private:
  struct Entry {
    HostRumor Rumor;
    std::optional<TimePoint> SuspectedSince;
    TimePoint LastHeard{};
    TimePoint ChangedAt{};
  };

  RumorEffect applyToSelf(const HostRumor &Told);

  HostRumor Self;
  HostTableLimits Limits;
  std::map<HostId, Entry> Hosts;
};

} // namespace bergamothook

#endif
