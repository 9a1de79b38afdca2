/// \file
/// Chooses the target of one call.
///
/// Calls that share a prompt's parts go to the same target, whichever host
/// takes them, so that the parts are read once; a target that has more than its
/// part of the load passes calls on to the next in the order. Answers the load
/// of many callers that ask about the same things, with some things asked about
/// far more than others.

#ifndef BERGAMOTHOOK_LIBRELAY_TARGETPICKER_H
#define BERGAMOTHOOK_LIBRELAY_TARGETPICKER_H

#include "LibBase/Random.h"
#include "LibRelay/RelayCall.h"
#include "LibRelay/TargetDirectory.h"

#include <set>

namespace bergamothook {

struct PickerPolicy {
  /// A target takes calls up to this multiple of the mean load.
  double LoadFactor = 1.5;
  /// Calls above the mean that are always allowed, since small counts vary.
  double LoadAllowance = 3;
  /// Prompt tokens that weigh as much as one running call. An engine reads
  /// about as many in the time in which it makes an event.
  double TokensPerCall = 4000;
};

/// The picker of one host. Not thread-safe.
class TargetPicker {
public:
  TargetPicker(PickerPolicy Policy, std::string OwnDomain, std::uint64_t Seed)
      : Policy(Policy), OwnDomain(std::move(OwnDomain)), Dice(Seed) {}

  /// Chooses among the targets of \p Service that are not in \p Excluded.
  /// \returns null when none is left.
  TargetState *pick(TargetDirectory &Targets, const std::string &Service,
                    const RelayCall &Call,
                    const std::set<std::string> &Excluded, TimePoint Now);

private:
  std::vector<TargetState *> candidates(TargetDirectory &Targets,
                                        const std::string &Service,
                                        const std::set<std::string> &Excluded,
                                        TimePoint Now) const;
  TargetState *pickByPrompt(const std::vector<TargetState *> &Among,
                            const RelayCall &Call) const;
  TargetState *pickByLoad(const std::vector<TargetState *> &Among);
  double load(const TargetState &Target) const;

  PickerPolicy Policy;
  std::string OwnDomain;
  Random Dice;
};

} // namespace bergamothook

#endif
