/// \file
/// Decides whether this host can reach the targets of a service at all.
///
/// This tells a link that is down for this host from a target that is down for
/// all: several targets have to fail, or to be silent while calls wait, and
/// then none of a few others may accept a connection.

#ifndef BERGAMOTHOOK_LIBRELAY_TARGETREACH_H
#define BERGAMOTHOOK_LIBRELAY_TARGETREACH_H

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamothook {

struct ReachPolicy {
  /// Targets that have to fail, or to be silent, and to be probed in vain.
  std::size_t MinTargets = 2;
  /// How long a failed connection counts, if its target is not heard.
  Duration FailureMemory = std::chrono::seconds(2);
  /// A target is silent if it sends nothing for this long while a call waits.
  Duration SilenceTime = std::chrono::milliseconds(500);
  /// Targets that have to be silent, or all with calls if there are fewer in
  /// the service.
  std::size_t MinSilentTargets = 3;
  /// Targets that are probed at a time.
  std::size_t MaxProbes = 4;
  /// The shortest time between two rounds of probes while targets are in reach.
  Duration CalmProbeInterval = std::chrono::seconds(1);
  /// Over which time calls come back to the host's own links.
  Duration ReturnTime = std::chrono::milliseconds(500);
};

/// What a round of probes changed.
enum class ReachChange { None, Lost, Regained };

/// The decisions of one host. Not thread-safe.
class TargetReach {
public:
  explicit TargetReach(ReachPolicy Policy = {}) : Policy(Policy) {}

  /// A call was sent to a target. Followed by onEnded().
  void onSent(const std::string &Service, const std::string &Target,
              TimePoint Now);
  void onEnded(const std::string &Service, const std::string &Target);
  /// A target sent something.
  void onHeard(const std::string &Service, const std::string &Target,
               TimePoint Now);
  /// A target did not accept a connection, or a connection to it was lost.
  void onFailed(const std::string &Service, const std::string &Target,
                TimePoint Now);

  /// \returns whether targets of a service that has \p Usable ones are to be
  /// probed.
  bool isSuspect(const std::string &Service, std::size_t Usable,
                 TimePoint Now) const;

  /// Chooses the targets to probe out of the usable ones: those that have not
  /// failed first.
  std::vector<std::string> chooseProbes(const std::string &Service,
                                        std::vector<std::string> Usable,
                                        Random &Rng) const;

  /// Applies a round of probes, of which \p Reached were accepted.
  ReachChange onProbed(const std::string &Service, std::size_t Probed,
                       std::size_t Reached, TimePoint Now);

  /// \returns whether no target of a service can be reached.
  bool isLost(const std::string &Service) const;

  /// \returns whether a call may use the host's own links. After a loss, a
  /// growing fraction of calls may. \p Draw is uniform in [0, 1).
  bool mayUseOwnLinks(const std::string &Service, double Draw,
                      TimePoint Now) const;

  /// \returns the services of which no target can be reached.
  std::size_t lostServices() const;
  std::size_t failedTargets(const std::string &Service, TimePoint Now) const;
  std::size_t silentTargets(const std::string &Service, TimePoint Now) const;
  /// \returns whether a target has not been heard for long while calls wait.
  bool isSilent(const std::string &Service, const std::string &Target,
                TimePoint Now) const;
  /// \returns for how long the targets of a service have been out of reach.
  Duration lostFor(const std::string &Service, TimePoint Now) const;

private:
  struct WaitingCalls {
    unsigned Calls = 0;
    /// When the target last sent something, or the first of the calls was sent.
    TimePoint QuietSince{};
  };

  struct Entry {
    std::map<std::string, WaitingCalls> Waiting;
    /// When the connections of targets failed that were not heard since.
    std::map<std::string, TimePoint> Failed;
    TimePoint HeardAt{};
    std::optional<TimePoint> ProbedAt;
    std::optional<TimePoint> LostAt;
    std::optional<TimePoint> RegainedAt;
  };

  const Entry *find(const std::string &Service) const;

  ReachPolicy Policy;
  /// Services that got calls; they come from the configuration, so that their
  /// number is bounded.
  std::map<std::string, Entry> Services;
};

} // namespace bergamothook

#endif
