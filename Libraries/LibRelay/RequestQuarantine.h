/// \file
/// Stops sending requests that crash the targets that execute them, across all
/// processes of the fleet.

#ifndef BERGAMOTHOOK_LIBRELAY_REQUESTQUARANTINE_H
#define BERGAMOTHOOK_LIBRELAY_REQUESTQUARANTINE_H

#include "LibBase/RecentMap.h"
#include "LibRelay/CrashEvidence.h"
#include "LibRelay/QuarantineReport.h"

#include <deque>
#include <functional>
#include <map>

namespace bergamothook {

struct QuarantinePolicy {
  /// The losses without an answer in between after which a trait is
  /// quarantined, if no other cause explains them.
  unsigned MinLosses = 3;
  /// The losses after which it is quarantined if they are ambiguous.
  unsigned MinAmbiguousLosses = 5;
  /// Targets that are lost within this time count as one loss, unless the
  /// request was sent after the first of them.
  Duration MomentGap = std::chrono::milliseconds(500);
  /// Time for other hosts to report that a part was answered, before it is
  /// quarantined. Covers a few rounds of reports.
  Duration SettleTime = std::chrono::milliseconds(500);
  /// An answer up to this long before a loss clears a part. Popular parts are
  /// answered many times a second.
  Duration AnswerMemory = std::chrono::milliseconds(1000);
  /// How long a trait is remembered after its last loss, and after the last
  /// request with it in the fleet. By then a caller that retries automatically
  /// has given up.
  Duration Retention = std::chrono::minutes(5);
  /// After the retention time, hosts take turns of this length, in which they
  /// may send one quarantined request at a time.
  Duration TurnTime = std::chrono::seconds(10);
  /// This many other targets lost at the same time, and more than with the
  /// trait, indicate a failure of machines or of the network. Targets that
  /// requests crash are lost at any time.
  std::size_t MassFailureTargets = 4;
  Duration MassFailureTime = std::chrono::milliseconds(100);
  /// Bounds of the memory use, with far more than is ever under suspicion.
  std::size_t MaxTraits = 4096;
  std::size_t MaxPendingReports = 512;
  std::size_t MaxFallenTargets = 1024;
  std::size_t MaxAnsweredTraits = 8192;
  std::size_t MaxReportsSeen = 8192;
};

/// Whether a request may be sent to a target.
enum class SendAdmission {
  Allowed,
  /// Allowed as the only request of its kind in progress on this host; ended
  /// with endProbe().
  Probe,
  /// Refused, since a probe is in progress.
  Busy,
  Refused,
};

/// Finds the traits that requests have in common if targets are lost before
/// they begin to answer. A trait is quarantined after several losses without an
/// answer in between; an answer to any request with a trait proves that the
/// trait does not crash targets. If traits only ever occurred together, their
/// combination is quarantined, and a request with some of them is sent as a
/// probe.
class RequestQuarantine {
public:
  /// \p HasTurn tells whether it is this host's turn to probe a trait; each
  /// turn is one host's.
  RequestQuarantine(
      std::string Self, QuarantinePolicy Policy,
      std::function<bool(const Hash128 &Trait, std::uint64_t Turn)> HasTurn);

  /// \returns what admit() would decide.
  SendAdmission admission(const RequestTraits &Traits, TimePoint Now) const;

  /// Decides whether to send a request.
  SendAdmission admit(const RequestTraits &Traits, TimePoint Now);
  void endProbe(const RequestTraits &Traits);

  /// Records that the run \p TargetRun of a target was lost before it began its
  /// answer to a request that was sent at \p SentAt. \returns whether the loss
  /// counts against the request or any part of it.
  bool onLost(const RequestTraits &Traits, const std::string &TargetRun,
              TimePoint SentAt, TimePoint Now);

  /// Records an answer that got past its beginning.
  void onAnswered(const RequestTraits &Traits, TimePoint Now);

  /// Applies the report of a process.
  void onReport(const QuarantineReport &Report, TimePoint Now);

  /// Decides on what was reported, and removes old entries.
  void update(TimePoint Now);

  /// Removes and returns the reports for the other processes, the most
  /// important ones first.
  std::vector<QuarantineReport> takePendingReports(TimePoint Now);

  /// \returns a report for each trait in quarantine for which this host has the
  /// first turn.
  std::vector<QuarantineReport> reportQuarantined();

  std::size_t size() const { return this->Entries.size(); }
  std::size_t quarantined() const;

private:
  struct Entry {
    CrashEvidence Evidence;
    /// The trait is the content of a request rather than a part of a prompt.
    bool IsContent = false;
    /// This host lost requests with the trait.
    bool HasOwnLosses = false;
    /// Since when the losses suffice.
    std::optional<TimePoint> SufficientSince;
    bool IsQuarantined = false;
    /// The last loss, or the last request with the trait while it is in
    /// quarantine.
    TimePoint LastUse{};
    /// When any process last reported that the trait is in quarantine.
    TimePoint ReportedAt{};
  };

  struct PendingLoss {
    RequestTraits Traits;
    TargetLoss Loss;
  };

  SendAdmission admissionOf(const Hash128 &Trait, const Entry &Found,
                            const RequestTraits &Traits, TimePoint Now) const;
  void addLoss(const RequestTraits &Traits, const TargetLoss &Loss, bool IsOwn);
  void recordFallen(const TargetLoss &Loss);
  bool hasAnsweredSince(const Hash128 &Trait, TimePoint Since) const;
  Entry *findOrAdd(const Hash128 &Trait);
  void forgetOldest();
  bool isSufficient(const Hash128 &Trait, const Entry &Suspect) const;
  TimePoint fallTime(const TargetLoss &Loss) const;
  /// Counts the moments that are no mass failures.
  unsigned countMoments(const CrashEvidence &Evidence) const;
  /// A part that was answered is no longer a companion of others.
  bool isSuspected(const Hash128 &Trait) const {
    return this->Entries.contains(Trait);
  }
  bool isHeld(const Entry &Suspect, TimePoint Now) const;
  static bool areInseparable(const Hash128 &Left, const Entry &LeftEntry,
                             const Hash128 &Right, const Entry &RightEntry);
  void quarantine(const Hash128 &Trait, Entry &Suspect, TimePoint Now);
  void erase(const Hash128 &Trait);
  void clear(const Hash128 &Trait);
  void expire(TimePoint Now);
  QuarantineReport makeReport(QuarantineReportKind Kind);

  std::string Self;
  QuarantinePolicy Policy;
  std::function<bool(const Hash128 &, std::uint64_t)> HasTurn;
  std::map<Hash128, Entry> Entries;
  /// The traits in the order in which they were added, to forget the oldest.
  std::deque<Hash128> AddOrder;
  /// The parts with at least MinLosses losses or in quarantine.
  std::set<Hash128> StrongSuspects;
  RecentMap<Hash128, TimePoint> Answered;
  std::deque<TargetLoss> Fallen;
  TimePoint ExpireAt{};
  /// Traits of which a probe is in progress.
  std::set<Hash128> Probes;
  RecentMap<std::uint64_t, bool> ReportsSeen;
  std::uint64_t LastNumber = 0;
  // What is to be reported.
  std::set<Hash128> PendingQuarantined;
  /// With whether the trait was in quarantine.
  std::map<Hash128, bool> PendingCleared;
  std::deque<PendingLoss> PendingLosses;
};

} // namespace bergamothook

#endif
