/// \file
/// Finds requests that crash the targets that run them, over the whole fleet
/// and under any key, and leaves those alone that merely shared a target with
/// one.

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

/// The name of the stream that crashes are told on.
inline constexpr const char *SuspectStream = "suspects";

enum class SuspectRecordKind : std::uint16_t { Crash = 1, Cleared, Lifted };

/// One crash of a target, seen by one host, with all that the host had in
/// flight there. Sent to peers and kept on the log; the identifier removes
/// copies.
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
  /// The crashes after which this host runs the content no more.
  std::size_t CrashesHere = 2;
  /// The crashes after which no host does.
  std::size_t CrashesInFleet = 3;
  /// How long a suspicion lasts after the last crash.
  Duration Memory = std::chrono::hours(1);
  /// A target that crashed before within this time, while it ran nothing of
  /// the same content, crashes by itself.
  Duration FlakyWindow = std::chrono::minutes(30);
  /// So many targets lost within the window are a failure of their hosts or
  /// of the network, not of a request.
  std::size_t MassFailureTargets = 4;
  Duration MassFailureWindow = std::chrono::seconds(5);
  std::size_t MaxSuspects = 20'000;
};

/// What is known against one content.
struct Suspect {
  /// The reports that name it, and those among them from this host.
  std::set<RecordId> Crashes;
  std::set<RecordId> CrashesHere;
  std::set<TargetId> Targets;
  TimePoint LastCrash;
};

/// One line of the operators' list.
struct SuspectSummary {
  Hash128 Content;
  std::size_t Crashes = 0;
  std::size_t CrashesHere = 0;
  std::vector<TargetId> Targets;
  bool IsQuarantined = false;
  TimePoint LastCrash;
};

/// The suspicions of one host. Reads no clock, and takes the same report any
/// number of times.
class PoisonRegistry {
public:
  PoisonRegistry(HostId Self, PoisonLimits Limits);

  /// Tells whether \p Content may run; OutcomeError::Quarantined if not.
  Result<void> admit(Hash128 Content, TimePoint Now) const;

  /// Gives the targets that \p Content must keep away from: those where
  /// another suspect is in flight, so that a second crash tells the two apart.
  std::vector<TargetId> targetsToAvoid(Hash128 Content, TimePoint Now) const;

  /// Gives the target where this host runs the same content now. A second copy
  /// belongs there too, so that one crash takes both.
  std::optional<TargetId> targetInFlight(Hash128 Content) const;

  void started(Hash128 Content, TargetId Target);
  void ended(Hash128 Content, TargetId Target);

  /// Takes the loss of a target that ran \p Content. \returns a report for the
  /// fleet for the first content that notices it; nothing for its neighbours,
  /// which the report names already.
  std::optional<CrashReport> crashed(Hash128 Content, TargetId Target,
                                     RecordId Id, TimePoint Now);

  /// Takes a report from a peer or the log, or from this host itself.
  void apply(const CrashReport &Report, TimePoint Now);

  /// Takes the end of a run without a crash. \returns whether there was a
  /// suspicion, which peers then should drop too.
  bool cleared(Hash128 Content);

  /// Drops all that is known against \p Content.
  void lift(Hash128 Content);

  /// Lists the suspects, the worst first.
  std::vector<SuspectSummary> list(TimePoint Now) const;

  /// Forgets what is too old.
  void expire(TimePoint Now);

private:
  struct Loss {
    TimePoint At;
    std::set<Hash128> Contents;
  };

  bool isQuarantined(const Suspect &Known) const;
  bool isCurrent(const Suspect &Known, TimePoint Now) const;
  bool crashesByItself(const CrashReport &Report, TimePoint Now) const;
  bool isMassFailure(TimePoint Now) const;
  void blame(Hash128 Content, const CrashReport &Report, TimePoint Now);

  HostId Self;
  PoisonLimits Limits;
  std::map<Hash128, Suspect> Suspects;
  /// The contents in flight on each target from this host, with their number.
  std::map<TargetId, std::map<Hash128, std::uint32_t>> InFlight;
  /// The losses of each target of late, the newest last.
  std::map<TargetId, std::vector<Loss>> Losses;
  std::map<RecordId, TimePoint> Applied;
};

/// Encodes a report, a clearance or a lift as a record of SuspectStream.
StreamRecord makeCrashRecord(Incarnation Writer, const CrashReport &Report);
StreamRecord makeSuspectRecord(RecordId Id, Incarnation Writer,
                               SuspectRecordKind Kind, Hash128 Content);

/// Takes a record of SuspectStream. OutcomeError::MalformedRecord changes
/// nothing.
Result<void> applySuspectRecord(PoisonRegistry &Registry,
                                const StreamRecord &Record, TimePoint Now);

} // namespace bergamothook

#endif
