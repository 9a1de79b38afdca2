/// \file
/// A simulated order runner.

#ifndef BERGAMOTHOOK_LIBREPLAY_FAKERUNNER_H
#define BERGAMOTHOOK_LIBREPLAY_FAKERUNNER_H

#include "LibReplay/FakeTarget.h"
#include "LibTarget/ServiceHooks.h"

#include <deque>

namespace bergamothook {

/// Runs every order each time it arrives and counts the runs. The response
/// contains the request identifier and the run count of the order.
class FakeRunner : public FakeTarget {
public:
  FakeRunner(TargetId Id, Runtime Base, StepHook OnStep, bool ChecksFence);

  /// Handles one call from the host of \p Process.
  Result<ServiceAnswer> call(SimulatedProcess &Process, const ServiceCall &Call,
                             TimePoint Deadline);

  /// Delays the responses of all calls that have not taken effect yet.
  void delayResponses(Duration Delay) { this->ResponseDelay = Delay; }

private:
  /// One call in progress. It continues when the calling host dies.
  struct PendingCall {
    RequestId Request;
    Connection Link;
    bool HasResponse = false;
    ServiceAnswer Response;
  };

  void runCall(PendingCall &Pending, SimulatedProcess &Process);

  bool ChecksFence;
  Duration ResponseDelay{};
  std::map<RequestId, std::uint64_t> Fences;
  std::deque<PendingCall> PendingCalls;
};

} // namespace bergamothook

#endif
