/// \file
/// Detects requests that crash the targets that run them, across the fleet and
/// whatever their idempotency key, without blocking requests that merely shared
/// a target with one.

#ifndef BERGAMOTHOOK_LIBOUTCOME_POISONREGISTRY_H
#define BERGAMOTHOOK_LIBOUTCOME_POISONREGISTRY_H

#include "LibBase/Ids.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibOutcome/OutcomeError.h"
#include "LibStream/StreamRecord.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamothook {

/// The name of the stream on which hosts report crashes.
inline constexpr const char *SuspectStream = "suspects";

enum class SuspectRecordKind : std::uint16_t { Crash = 1, Cleared, Lifted };

/// A crash of a target seen by one host, with everything that the host had in
/// flight there. Sent to peers and written to the log; the identifier serves to
/// remove duplicates.
struct CrashReport {
  RecordId Id;
  HostId Host;
  TargetId Target;
  std::vector<Hash128> Contents;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Host, this->Target, this->Contents);
  }
};

struct PoisonLimits {
  /// The number of crashes seen by this host after which it rejects the
  /// content.
  std::size_t LocalCrashLimit = 2;
  /// The number of crashes in the fleet after which every host rejects the
  /// content.
  std::size_t FleetCrashLimit = 3;
  /// How long a content remains suspect after its last crash.
  Duration SuspicionLifetime = std::chrono::hours(1);
  /// A target that crashed within this time before, while running none of the
  /// same contents, is considered flaky: its crashes make no suspects.
  Duration FlakyWindow = std::chrono::minutes(30);
  /// If this many targets are lost within the window, the cause is taken to be
  /// their hosts or the network, and not a request.
  std::size_t MassFailureTargets = 4;
  Duration MassFailureWindow = std::chrono::seconds(5);
  std::size_t MaxSuspects = 20'000;
};

/// The crashes attributed to one content.
struct Suspect {
  /// All reports that name the content, and those of them from this host.
  std::set<RecordId> Crashes;
  std::set<RecordId> CrashesHere;
  std::set<TargetId> Targets;
  TimePoint LastCrash;
};

/// An entry of the operators' list of suspects.
struct SuspectSummary {
  Hash128 Content;
  std::size_t Crashes = 0;
  std::size_t CrashesHere = 0;
  std::vector<TargetId> Targets;
  bool IsQuarantined = false;
  TimePoint LastCrash;
};

/// The suspect contents known to one host. Reads no clock, and ignores
/// duplicates of a report.
class PoisonRegistry {
public:
  PoisonRegistry(HostId Self, PoisonLimits Limits);

  /// Checks whether \p Content may run; fails with OutcomeError::Quarantined if
  /// not.
  Result<void> admit(Hash128 Content, TimePoint Now) const;

  /// \returns the targets that \p Content must avoid if it is suspect: those
  /// where another suspect is in flight, so that a further crash shows which of
  /// the two is the cause.
  std::vector<TargetId> targetsToAvoid(Hash128 Content, TimePoint Now) const;

  /// \returns the target where this host is running the same content now.
  /// Further copies should go there too, so that a crash takes down only one
  /// target.
  std::optional<TargetId> targetInFlight(Hash128 Content) const;

  void started(Hash128 Content, TargetId Target);
  void ended(Hash128 Content, TargetId Target);

  /// Handles the loss of a target that ran \p Content. \returns a report for
  /// the fleet for the first content that notices the loss, and nothing for the
  /// other contents on the target, since the report names them already.
  std::optional<CrashReport> crashed(Hash128 Content, TargetId Target,
                                     RecordId Id, TimePoint Now);

  /// Applies a report from a peer, the log or this host.
  void apply(const CrashReport &Report, TimePoint Now);

  /// Handles the end of a run without a crash. \returns whether \p Content was
  /// suspect; peers should then clear it as well.
  bool cleared(Hash128 Content);

  /// Removes \p Content from the suspects.
  void lift(Hash128 Content);

  /// \returns the suspects, those with the most crashes first.
  std::vector<SuspectSummary> list(TimePoint Now) const;

  /// Removes expired entries.
  void expire(TimePoint Now);

private:
  struct TargetCrash {
    TimePoint At;
    std::set<Hash128> Contents;
  };

  bool isQuarantined(const Suspect &Known) const;
  bool isCurrent(const Suspect &Known, TimePoint Now) const;
  bool isTargetFlaky(const CrashReport &Report, TimePoint Now) const;
  bool isMassFailure(TimePoint Now) const;
  void addSuspicion(Hash128 Content, const CrashReport &Report, TimePoint Now);

  HostId Self;
  PoisonLimits Limits;
  std::map<Hash128, Suspect> Suspects;
  /// The contents that this host has in flight on each target, with their
  /// number.
  std::map<TargetId, std::map<Hash128, std::uint32_t>> InFlight;
  /// The recent crashes of each target, the newest last.
  std::map<TargetId, std::vector<TargetCrash>> RecentCrashes;
  std::map<RecordId, TimePoint> AppliedReports;
};

/// Encodes a report, a clearance or a lift as a record of SuspectStream.
StreamRecord makeCrashRecord(Incarnation Writer, const CrashReport &Report);
StreamRecord makeSuspectRecord(RecordId Id, Incarnation Writer,
                               SuspectRecordKind Kind, Hash128 Content);

/// Applies a record of SuspectStream. OutcomeError::MalformedRecord leaves the
/// registry unchanged.
Result<void> applySuspectRecord(PoisonRegistry &Registry,
                                const StreamRecord &Record, TimePoint Now);

} // namespace bergamothook

#endif
