/// \file
/// Selects the target of one call.
///
/// Calls that share parts of a prompt go to the same target, whichever host
/// relays them, so that an engine reads those parts once. A target above its
/// share of the load is skipped for the next one in hash order (rendezvous
/// hashing with bounded loads). This suits many callers that ask about the same
/// topics, some of them far more often than others.
///
/// A target that is cold gets calls only if no warm one may get them. A target
/// whose failure domain returns from an evacuation, or that was cold, gets a
/// growing fraction of the topics. It keeps no parts of prompts any more, and
/// reading those of all topics at once would delay every call there. This suits
/// a steady load that was served by the other failure domains meanwhile.

#ifndef BERGAMOTHOOK_LIBRELAY_TARGETPICKER_H
#define BERGAMOTHOOK_LIBRELAY_TARGETPICKER_H

#include "LibBase/Random.h"
#include "LibRelay/RelayCall.h"
#include "LibRelay/TargetDirectory.h"

#include <functional>

namespace bergamothook {

struct PickerPolicy {
  /// A target accepts calls up to this multiple of the mean load.
  double LoadFactor = 1.5;
  /// Calls above the mean that are always allowed, since small counts vary.
  double LoadAllowance = 3;
  /// Prompt tokens that count as much as one running call. An engine reads
  /// about as many in the time in which it produces an event.
  double TokensPerCall = 4000;
  /// How long it takes until a returned target gets all of its calls. A target
  /// reads the shared parts of a topic in about a tenth of a second.
  Duration ReturnTime = std::chrono::seconds(4);
};

/// The picker of one host. Not thread-safe.
class TargetPicker {
public:
  TargetPicker(PickerPolicy Policy, std::string OwnDomain, std::uint64_t Seed)
      : Policy(Policy), OwnDomain(std::move(OwnDomain)), Rng(Seed) {}

  /// Whether a call may be sent to a target at all.
  using Condition = std::function<bool(const TargetState &)>;

  /// Selects one of the targets of \p Service that satisfy \p IsEligible and
  /// are not at their rate limit.
  /// \returns null if there is none.
  TargetState *pick(TargetDirectory &Targets, const std::string &Service,
                    const RelayCall &Call, const Condition &IsEligible,
                    TimePoint Now);

private:
  std::vector<TargetState *> candidates(TargetDirectory &Targets,
                                        const std::string &Service,
                                        const Condition &IsEligible,
                                        TimePoint Now) const;
  TargetState *pickByPrompt(const std::vector<TargetState *> &Candidates,
                            const RelayCall &Call) const;
  TargetState *pickByLoad(const std::vector<TargetState *> &Candidates);
  double load(const TargetState &Target) const;
  /// Leaves out the targets that do not get calls with \p Key yet, if there are
  /// others. All hosts leave out the same ones for the same key.
  void skipReturning(std::vector<TargetState *> &Candidates,
                     const RelayCall &Call, TimePoint Now);

  PickerPolicy Policy;
  std::string OwnDomain;
  Random Rng;
};

} // namespace bergamothook

#endif
