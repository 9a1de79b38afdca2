/// \file
/// The ways to keep budgets that the experiment "budgets" compares, and the
/// faults that they meet.

#ifndef BERGAMOTHOOK_UTILITIES_BENCH_BUDGETSDESIGN_H
#define BERGAMOTHOOK_UTILITIES_BENCH_BUDGETSDESIGN_H

#include "LibLedger/SlicePolicy.h"
#include "LibStandin/MemoryLog.h"

#include <functional>
#include <memory>
#include <vector>

namespace bergamothook::budgets {

/// What all designs run in.
struct World {
  explicit World(std::size_t HostCount, std::uint64_t Seed)
      : Log({}, Seed), IsDead(HostCount), IsPaused(HostCount),
        IsCut(HostCount) {}

  bool canWork(std::size_t Host) const {
    return !this->IsDead[Host] && !this->IsPaused[Host];
  }

  std::size_t hostCount() const { return this->IsDead.size(); }

  MemoryLog Log;
  std::vector<bool> IsDead;
  std::vector<bool> IsPaused;
  /// Neither the log nor a peer on the other side can be reached.
  std::vector<bool> IsCut;
  TimePoint Now{std::chrono::hours(1)};
};

enum class Answer { Reserved, Wait, Refused };

struct Reservation {
  Answer Outcome = Answer::Refused;
  std::uint64_t Handle = 0;
};

/// One way to keep budgets. Each hook acts at the present time of the world.
struct Design {
  std::function<Reservation(std::size_t Host, TeamId, RequestId, std::uint32_t,
                            TokenCount WorstCase)>
      Reserve;
  std::function<void(std::size_t Host, std::uint64_t Handle, TokenCount)>
      Settle;
  std::function<void(TeamId, TokenCount)> TopUp;
  std::function<void(std::size_t Host)> Kill;
  std::function<void(std::size_t Host)> Revive;
  std::function<void()> Tick;
  /// The tokens of dead hosts that nobody can spend.
  std::function<TokenCount()> Stranded;
  /// The tokens that the team's budget was billed.
  std::function<TokenCount(TeamId)> Billed;
  /// Violations of the invariant that the design itself saw.
  std::function<std::uint64_t()> Violations;
};

/// Slices in hand with witnesses: LibLedger.
Design makeSliceDesign(World &In, SlicePolicy Policy, std::uint64_t Seed);

/// Each host holds an equal share of each budget for good.
Design makeSplitDesign(World &In);

/// Each reservation and each settlement is an append of its own.
Design makeAppendDesign(World &In);

} // namespace bergamothook::budgets

#endif
