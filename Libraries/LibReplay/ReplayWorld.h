/// \file
/// All hosts, targets and callers of one replay, and the faults between them.

#ifndef BERGAMOTHOOK_LIBREPLAY_REPLAYWORLD_H
#define BERGAMOTHOOK_LIBREPLAY_REPLAYWORLD_H

#include "LibReplay/ReplayHost.h"
#include "LibTask/VirtualRuntime.h"

#include <set>

namespace bergamothook {

/// Runs one scenario. All of it lives in virtual time on the calling thread.
class ReplayWorld {
public:
  explicit ReplayWorld(const Scenario &Played);
  ~ReplayWorld();

  ReplayWorld(const ReplayWorld &) = delete;
  ReplayWorld &operator=(const ReplayWorld &) = delete;

  ScenarioReport run();

private:
  /// One caller with its request.
  struct Caller {
    const ScenarioRequest *Request = nullptr;
    std::string Key;
    RequestId Id;
    /// The attempt that the caller waits for, or null.
    CallerAttempt *Present = nullptr;
    bool HasHungUp = false;
    bool HasEnded = false;
    std::string Text;
    std::uint32_t Delivered = 0;
    bool HasGap = false;
  };

  void build();
  void reach(Step At, RequestId Request, HostGate &Gate);
  void strike(const ScenarioFault &Fault, std::size_t Request, HostGate &Gate);
  void strikeTarget(const ScenarioFault &Fault, FakeTarget &Target);
  void strikeLog(const ScenarioFault &Fault);
  void strikeHost(const ScenarioFault &Fault, ReplayHost &Host);
  void strikeCaller(const ScenarioFault &Fault, Caller &Struck);
  void strikeAtTime(const ScenarioFault &Fault);
  ReplayHost &hostOf(HostGate &Gate);
  FakeTarget &targetOf(const Caller &Present);
  bool isTargetFault(FaultKind Kind) const;

  void runCaller(std::size_t Index);
  void fetchTicket(Caller &Present);
  void callHost(std::size_t Index, std::uint32_t Number);
  void sendOrder(Caller &Present, CallerAttempt &Attempt, ReplayHost &Host);
  void sendStream(Caller &Present, CallerAttempt &Attempt, ReplayHost &Host);
  bool takePiece(Caller &Present, const StreamChunk &Piece);
  bool isFinal(const Caller &Present, const CallerAttempt &Attempt) const;
  void takeAnswer(std::size_t Index, const CallerAttempt &Attempt);
  std::uint32_t runsOf(RequestId Request) const;
  std::uint32_t dispatchesOf(RequestId Request) const;

  void check();
  bool isRefusedForGood(const Caller &Present) const;
  void checkRequest(std::size_t Index);
  void checkExpected(std::size_t Index);
  void checkAttempts();
  void violate(std::size_t Index, const std::string &What);

  const Scenario &Played;
  VirtualRuntime Simulated;
  Runtime Base;
  ReplayPlatform Platform;
  std::deque<ReplayHost> Hosts;
  std::deque<Caller> Callers;
  std::deque<CallerAttempt> Attempts;
  std::set<const ScenarioFault *> Struck;
  TimePoint Start;
  TimePoint QuietFrom;
  ScenarioReport Report;
  Event CallerEnded;
};

} // namespace bergamothook

#endif
