/// \file
/// The crashes of targets that one trait of requests may have caused.

#ifndef BERGAMOTHOOK_LIBRELAY_CRASHEVIDENCE_H
#define BERGAMOTHOOK_LIBRELAY_CRASHEVIDENCE_H

#include "LibBase/Time.h"
#include "LibRelay/RequestTraits.h"

#include <optional>
#include <set>

namespace bergamothook {

/// A target that was lost before it began to answer a request.
struct TargetLoss {
  std::uint64_t TargetRun = 0;
  TimePoint SentAt{};
  TimePoint LostAt{};
};

/// The losses of requests with one trait since the last answer to such a
/// request.
class CrashEvidence {
public:
  /// Records a loss of a request with \p Traits, which include this one.
  void add(const TargetLoss &Loss, const Hash128 &Self,
           const RequestTraits &Traits);

  /// Groups the losses into moments, by index of their first one. A new moment
  /// begins with a request that was sent after the moment began, or lost \p Gap
  /// later; targets that fall together are one moment.
  std::vector<std::size_t> moments(Duration Gap) const;

  /// Tells whether all losses in \p Other are here too.
  bool covers(const CrashEvidence &Other) const;

  bool contains(std::uint64_t TargetRun) const;

  /// In the order of their times.
  const std::vector<TargetLoss> &losses() const { return this->Losses; }
  TimePoint lastLoss() const { return this->LastLoss; }
  void setLastLoss(TimePoint At) { this->LastLoss = At; }

  /// The other traits that all lost requests with this one had too. Which of
  /// them is the cause can't be told.
  const std::set<Hash128> &companions() const { return this->Companions; }
  void setCompanions(std::set<Hash128> Next);
  template <typename Predicate> void removeCompanionsIf(Predicate Matches) {
    std::erase_if(this->Companions, Matches);
  }

  /// The content of the lost requests, while all were repetitions of one.
  const std::optional<Hash128> &onlyContent() const {
    return this->OnlyContent;
  }

private:
  std::vector<TargetLoss> Losses;
  std::set<Hash128> Companions;
  std::optional<Hash128> OnlyContent;
  bool HasCompanions = false;
  TimePoint LastLoss{};
};

} // namespace bergamothook

#endif
