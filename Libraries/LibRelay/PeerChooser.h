/// \file
/// Selects the host that is asked to serve a call that this host can't send by
/// its own links.
///
/// Hosts of the own failure domain go first, since bytes between failure
/// domains cost more. A link failure often takes many hosts of one failure
/// domain at once: while one of them is known to reach no target either, the
/// hosts of all failure domains share the calls, so that the few that are left
/// there do not get all of them.

#ifndef BERGAMOTHOOK_LIBRELAY_PEERCHOOSER_H
#define BERGAMOTHOOK_LIBRELAY_PEERCHOOSER_H

#include "LibBase/Random.h"
#include "LibLoan/HostRoster.h"
#include "LibRelay/PeerExchange.h"

namespace bergamothook {

struct PeerPolicy {
  /// How long a host is not asked that reaches no target itself.
  Duration OutOfReachMemory = std::chrono::milliseconds(1000);
  /// How long the others are asked before such a host, so that calls do not
  /// find out for themselves each time.
  Duration LastResortMemory = std::chrono::seconds(10);
  /// How long one is not asked that took no call.
  Duration BusyMemory = std::chrono::milliseconds(300);
  /// How long one is not asked that could not be connected to, or was lost.
  Duration LostMemory = std::chrono::milliseconds(2000);
};

/// The chooser of one host. Not thread-safe.
class PeerChooser {
public:
  explicit PeerChooser(std::uint64_t Seed, PeerPolicy Policy = {})
      : Policy(Policy), Rng(Seed) {}

  /// \returns one of the responsive hosts that are not in \p Asked and may be
  /// asked; nothing if there is none.
  std::optional<HostId> choose(const HostRoster &Roster,
                               const std::set<HostId> &Asked, TimePoint Now);

  /// A call was forwarded to a host. Followed by onEnded().
  void onStarted(HostId Host) { ++this->Hosts[Host].Calls; }
  void onEnded(HostId Host);

  void onVerdict(HostId Host, PeerVerdict Verdict, TimePoint Now);
  /// A host could not be connected to, or was lost.
  void onLost(HostId Host, TimePoint Now);

  /// The calls that other hosts serve for this one.
  std::size_t calls() const;

private:
  struct Entry {
    std::size_t Calls = 0;
    TimePoint AskAfter{};
    TimePoint LastResortUntil{};
  };

  bool mayAsk(HostId Host, TimePoint Now) const;
  bool isLastResort(HostId Host, TimePoint Now) const;
  std::size_t callsAt(HostId Host) const;

  PeerPolicy Policy;
  Random Rng;
  std::map<HostId, Entry> Hosts;
};

} // namespace bergamothook

#endif
