/// \file
/// The request rate that one target currently accepts, as stated in its
/// answers.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_STATEDLIMIT_H
#define BERGAMOTHOOK_LIBRATELIMIT_STATEDLIMIT_H

#include "LibBase/Time.h"

#include <optional>

namespace bergamothook {

struct LimitObservation {
  /// Requests per second from all hosts together; unset if the target states no
  /// limit.
  std::optional<double> PerSecond;
  /// The latest time at which the target is known to have stated this.
  TimePoint At{};
};

/// Answers on different connections overtake each other. An answer that lifts
/// or raises the limit therefore counts only if its request was sent after the
/// current limit was received; a lower limit counts at once.
class StatedLimit {
public:
  /// Applies the answer to a request of this host. \returns whether the limit
  /// changed.
  bool onAnswer(std::optional<double> PerSecond, TimePoint SentAt,
                TimePoint ReceivedAt);

  /// Applies what another host observed, if it is newer. \returns whether the
  /// limit changed.
  bool merge(const LimitObservation &Other);

  const std::optional<double> &perSecond() const {
    return this->Newest.PerSecond;
  }
  const LimitObservation &newest() const { return this->Newest; }

private:
  LimitObservation Newest;
};

} // namespace bergamothook

#endif
