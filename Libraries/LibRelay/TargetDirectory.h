/// \file
/// The targets in the platform's list, and the state of each as observed by
/// this host's own calls.

#ifndef BERGAMOTHOOK_LIBRELAY_TARGETDIRECTORY_H
#define BERGAMOTHOOK_LIBRELAY_TARGETDIRECTORY_H

#include "LibBase/Hash.h"
#include "LibBase/RecentMap.h"
#include "LibBase/Time.h"
#include "LibNet/MemoryBudget.h"
#include "LibRateLimit/ColdLimit.h"
#include "LibRelay/EvacuatedDomains.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamothook {

/// The entry of a target in the list.
struct ListedTarget {
  /// Identifies one run of a target process; nearly always a new one for each
  /// start.
  std::string Id;
  std::string Service;
  /// IP:PORT.
  std::string Address;
  std::string FailureDomain;
  /// The version of its software, which has no order to other versions.
  std::string Version;
  std::uint32_t Slots = 0;
  bool IsLeaving = false;
  /// When the target started, by its own wall clock. A later start under the
  /// same identifier has no knowledge of the earlier one's work.
  std::int64_t StartedAt = 0;

  /// Addresses this run of the target, also among runs with one identifier.
  std::string runKey() const {
    return this->Id + "#" + std::to_string(this->StartedAt);
  }

  /// On whose behalf memory is held for its answers.
  MemoryOwner memoryOwner() const {
    return hash64(this->Address, hash64("target"));
  }

  bool operator==(const ListedTarget &) const = default;
};

/// A target and what this host has observed of it.
struct TargetState {
  ListedTarget Listed;
  /// Calls of this host in progress.
  std::uint32_t Running = 0;
  /// Prompt tokens of the calls in progress that have not produced an event
  /// yet.
  std::int64_t PrefillTokens = 0;
  /// Failures since the last successful answer.
  std::uint32_t ConsecutiveFailures = 0;
  /// No new calls before, but for one probe at a time.
  TimePoint BackoffUntil{};
  /// The target reported that its queue is full; until this time, other targets
  /// are preferred.
  TimePoint FullUntil{};
  /// The target's rate limit is used up: no new calls before.
  TimePoint RateLimitedUntil{};
  /// When the entry was last read, and when a connection to the target was last
  /// lost. A target that was lost may have started again as another run, which
  /// its next entry tells.
  TimePoint ListedAt{};
  TimePoint LostAt{};
  bool isRunConfirmed() const { return this->ListedAt >= this->LostAt; }
  /// Set while the list does not contain the target. If the list was
  /// unavailable shortly before, the removal may be spurious.
  std::optional<TimePoint> MissingSince;
  /// Receives no new calls.
  bool IsRetired = false;
  /// When its failure domain was returned after an evacuation, or when it
  /// became warm.
  std::optional<TimePoint> ReturnedAt;
  /// When the target will be warm, by the clock that counts the time during
  /// which the machine was suspended; unset if it is warm.
  std::optional<TimePoint> ColdUntil;
  /// Orders the reports on the cold period of this run.
  std::optional<std::uint64_t> ColdSequence;
  /// The target stated its cold period in a health response, which is newer
  /// than its entry.
  bool IsColdByHealth = false;
  /// The target has answered a call of this host.
  bool HasAnswered = false;
  /// When the last health request that was answered was sent, and before when
  /// no other one is sent.
  TimePoint CheckedAt{};
  TimePoint NextCheckAt{};
};

struct DirectoryPolicy {
  /// How long an entry that was removed around an outage of the list remains
  /// usable: live targets are listed again within two seconds after the list is
  /// available again.
  Duration SpuriousRemovalGrace = std::chrono::milliseconds(1800);
  /// How long after an outage the removal of an entry may be spurious.
  Duration SpuriousRemovalWindow = std::chrono::milliseconds(3000);
  /// How long a target is avoided after its first failure; doubles with each
  /// further failure.
  Duration InitialBackoff = std::chrono::milliseconds(400);
  Duration MaxBackoff = std::chrono::milliseconds(3000);
  /// How long other targets are preferred after a target refused a call for
  /// lack of capacity.
  Duration FullDuration = std::chrono::milliseconds(250);
  /// The shortest intervals of the health requests of this host to one target,
  /// and to all of them. Targets charge for these requests.
  Duration TargetHealthInterval = std::chrono::milliseconds(1000);
  Duration HealthInterval = std::chrono::milliseconds(100);
};

/// The directory of one host. Not thread-safe.
class TargetDirectory {
public:
  explicit TargetDirectory(DirectoryPolicy Policy = {}) : Policy(Policy) {}

  /// Adds or updates an entry of the list. \returns whether it changed
  /// anything.
  bool onListed(const ListedTarget &Target, TimePoint Now);

  /// Handles the removal of an entry from the list.
  void onRemoved(const std::string &Id, TimePoint Now);

  /// Replaces the whole list: entries that it does not contain are removed.
  void onFullList(const std::vector<ListedTarget> &Targets, TimePoint Now);

  /// The next full list is a copy that may be some seconds old: a target that
  /// was removed before is not usable until it is listed anew.
  void onListRestored() { this->IsNextListOld = true; }

  /// Records that the list could not be read.
  void onListUnreachable(TimePoint Now) {
    this->UnreachableAt = Now;
    this->IsListUnreachable = true;
  }
  void onListReachable() { this->IsListUnreachable = false; }

  /// Retires targets that are still missing after their grace period.
  void expire(TimePoint Now);

  /// Applies a record of the operator on the evacuation of a failure domain.
  /// \returns whether it changed anything.
  bool onEvacuationRecord(const EvacuationRecord &Record, TimePoint Now);

  /// Replaces all evacuations by those of a snapshot of the records before
  /// \p End. \returns the changes.
  std::vector<EvacuationRecord>
  onEvacuationSnapshot(const std::vector<EvacuationRecord> &Evacuated,
                       std::uint64_t End, TimePoint Now);

  /// \returns the targets of a service that may receive new calls.
  std::vector<TargetState *> usable(const std::string &Service);

  /// \returns whether a target that was chosen for a call may still receive
  /// it: it has neither ended nor begun to leave, is the same run, and its
  /// failure domain is not evacuated. To be asked after every wait, the last
  /// time directly before the call is sent.
  bool mayReceive(const ListedTarget &Target) const;

  /// Sets the rates at which the cold targets of services accept requests.
  /// Services without a rate have no cold targets.
  void setColdRates(std::map<std::string, double> Rates) {
    this->ColdRates = std::move(Rates);
  }

  /// Applies a report on the cold period of a target that was read, or
  /// received, at \p LeaseNow. One for another run of the target, or one that
  /// is not newer than the last, has no effect. \returns whether the target
  /// became cold.
  bool onColdReport(const ColdReport &Report, TimePoint LeaseNow);

  /// Ends the cold periods that are over. \returns the targets that became
  /// warm.
  std::vector<ListedTarget> endColdPeriods(TimePoint LeaseNow, TimePoint Now);

  /// \returns whether requests to a target need permits since it is cold.
  bool isCold(const TargetState &Target) const {
    return Target.ColdUntil && this->coldRate(Target.Listed.Service) > 0;
  }
  bool isCold(const ListedTarget &Target) const;

  /// \returns the rate at which a cold target of a service accepts requests; 0
  /// if it has no cold targets.
  double coldRate(const std::string &Service) const;

  /// \returns what is known of the cold period of one run of a target; nothing
  /// if it is warm.
  std::optional<ColdReport> describeCold(const std::string &RunKey,
                                         TimePoint LeaseNow) const;

  std::size_t coldTargets() const;

  /// \returns whether a target may be cold without an entry that tells: the
  /// list can't be read, and the target was lost or is new to this host. Its
  /// health is to be requested before it gets a call.
  bool needsHealthCheck(const TargetState &Target) const;
  bool needsHealthCheck(const ListedTarget &Target) const;

  /// \returns whether a health request may be sent to a target now, which is
  /// then counted as sent.
  bool beginHealthCheck(const std::string &Id, TimePoint Now);

  /// Applies a health response. \returns whether the target became cold.
  bool onHealthResponse(const ListedTarget &Target, Duration ColdLeft,
                        TimePoint AskedAt, TimePoint LeaseNow);

  /// \returns whether a service has targets, but all of those that could
  /// receive calls are in evacuated failure domains.
  bool isEvacuated(const std::string &Service) const;

  std::size_t evacuatedDomains() const { return this->Evacuated.size(); }
  /// \returns the number of targets that receive no calls only because their
  /// failure domain is evacuated.
  std::size_t evacuatedTargets() const;
  /// \returns the calls of this host in progress at the targets of a failure
  /// domain.
  std::size_t runningIn(const std::string &FailureDomain) const;

  TargetState *find(const std::string &Id);

  /// \returns whether \p RunKey addresses a target that may receive new calls.
  bool isListed(const std::string &RunKey) const;

  void onStarted(const std::string &Id, std::int64_t PromptTokens);
  /// The first event was received, or the call ended before it.
  void onPrefillDone(const std::string &Id, std::int64_t PromptTokens);
  void onEnded(const std::string &Id);
  void onSuccess(const std::string &Id);
  void onFailure(const std::string &Id, TimePoint Now);
  void onLost(const std::string &Id, TimePoint Now);
  /// The failures of the targets of a service were those of this host's links.
  void forgetFailures(const std::string &Service);
  void onFull(const std::string &Id, TimePoint Now);
  void onRateLimited(const std::string &Id, TimePoint Until);

  /// Another target responded at its address, so it has ended.
  void onReplaced(const std::string &Id);

  std::size_t size() const { return this->Targets.size(); }

private:
  static constexpr std::size_t MaxRemovedRuns = 4096;

  const TargetState *findRun(const std::string &RunKey) const;
  void eraseIfIdle(const std::string &Id);
  bool isRemovedRun(const ListedTarget &Target) const;
  void beginReturn(const std::string &FailureDomain, TimePoint Now);

  DirectoryPolicy Policy;
  EvacuatedDomains Evacuated;
  /// Requests per second, by service.
  std::map<std::string, double> ColdRates;
  std::map<std::string, TargetState> Targets;
  std::optional<TimePoint> UnreachableAt;
  bool IsListUnreachable = false;
  bool IsNextListOld = false;
  /// No health request of this host is sent before.
  TimePoint NextHealthCheckAt{};
  /// Runs that were removed from the list, and whether they still are.
  RecentMap<std::string, bool> RemovedRuns{MaxRemovedRuns};
};

} // namespace bergamothook

#endif
