/// \file
/// A simulated order runner.

#ifndef BERGAMOTHOOK_LIBREPLAY_FAKERUNNER_H
#define BERGAMOTHOOK_LIBREPLAY_FAKERUNNER_H

#include "LibReplay/FakeTarget.h"
#include "LibTarget/ServiceHooks.h"

#include <deque>

namespace bergamothook {

/// Runs every order that arrives, as often as it arrives, and keeps count. Its
/// answer names the order and the place in its own ledger.
class FakeRunner : public FakeTarget {
public:
  FakeRunner(TargetId Id, Runtime Base, StepHook Reach, bool ChecksFence);

  /// Serves one call of the host behind \p Gate.
  Result<ServiceAnswer> call(HostGate &Gate, const ServiceCall &Call,
                             TimePoint Deadline);

  /// Makes the answers of calls that arrive from now on late by \p Delay.
  void delayAnswers(Duration Delay) { this->AnswerDelay = Delay; }

private:
  /// One call under way. It goes on when the calling host is gone.
  struct Work {
    RequestId Request;
    Connection Link;
    bool HasAnswer = false;
    ServiceAnswer Answer;
  };

  void work(Work &Job, HostGate &Gate);

  bool ChecksFence;
  Duration AnswerDelay{};
  std::map<RequestId, std::uint64_t> Fences;
  std::deque<Work> Jobs;
};

} // namespace bergamothook

#endif
