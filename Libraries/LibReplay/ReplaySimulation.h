/// \file
/// The hosts, targets, callers and injected faults of one replay.

#ifndef BERGAMOTHOOK_LIBREPLAY_REPLAYSIMULATION_H
#define BERGAMOTHOOK_LIBREPLAY_REPLAYSIMULATION_H

#include "LibReplay/ReplayHost.h"
#include "LibTask/VirtualRuntime.h"

#include <set>

namespace bergamothook {

/// Runs one scenario in virtual time on the calling thread.
class ReplaySimulation {
public:
  explicit ReplaySimulation(const Scenario &Input);
  ~ReplaySimulation();

  ReplaySimulation(const ReplaySimulation &) = delete;
  ReplaySimulation &operator=(const ReplaySimulation &) = delete;

  ScenarioReport run();

private:
  /// One caller and its request.
  struct CallerState {
    const ScenarioRequest *Request = nullptr;
    std::string Key;
    RequestId Id;
    /// The latest attempt of the caller, or null before the first.
    CallerAttempt *CurrentAttempt = nullptr;
    bool HasHungUp = false;
    bool HasEnded = false;
    std::string Text;
    std::uint32_t Delivered = 0;
    bool HasGap = false;
  };

  void build();
  void onStep(Step At, RequestId Request, SimulatedProcess &Process);
  void injectFault(const ScenarioFault &Fault, std::size_t Request,
                   SimulatedProcess &Process);
  void injectTargetFault(const ScenarioFault &Fault, FakeTarget &Target);
  void injectLogFault(const ScenarioFault &Fault);
  void injectHostFault(const ScenarioFault &Fault, ReplayHost &Host);
  void injectCallerFault(const ScenarioFault &Fault, CallerState &Caller);
  void injectAtTime(const ScenarioFault &Fault);
  ReplayHost &hostOf(SimulatedProcess &Process);
  FakeTarget &targetOf(const CallerState &Caller);
  bool isTargetFault(FaultKind Kind) const;

  void runCaller(std::size_t Index);
  void fetchTicket(CallerState &Caller);
  void callHost(std::size_t Index, std::uint32_t Number);
  void sendOrder(CallerState &Caller, CallerAttempt &Attempt, ReplayHost &Host);
  void sendStream(CallerState &Caller, CallerAttempt &Attempt,
                  ReplayHost &Host);
  bool receiveChunk(CallerState &Caller, const StreamChunk &Chunk);
  bool isFinal(const CallerState &Caller, const CallerAttempt &Attempt) const;
  void recordResponse(std::size_t Index, const CallerAttempt &Attempt);
  std::uint32_t runsOf(RequestId Request) const;
  std::uint32_t dispatchesOf(RequestId Request) const;

  void check();
  bool isFinalNotRun(const CallerState &Caller) const;
  void checkRequest(std::size_t Index);
  void checkExpected(std::size_t Index);
  void checkAttempts();
  void addViolation(std::size_t Index, const std::string &What);

  const Scenario &Input;
  VirtualRuntime Simulated;
  Runtime Base;
  ReplayPlatform Platform;
  std::deque<ReplayHost> Hosts;
  std::deque<CallerState> Callers;
  std::deque<CallerAttempt> Attempts;
  std::set<const ScenarioFault *> InjectedFaults;
  TimePoint Start;
  TimePoint LastFaultEnd;
  ScenarioReport Report;
  Event CallerEnded;
};

} // namespace bergamothook

#endif
