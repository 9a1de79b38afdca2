/// \file
/// Two hosts over one budget, as a state machine whose every order of steps can
/// be explored. The steps call the project's own fold, holder and witness.

#ifndef BERGAMOTHOOK_TESTS_MODELCHECK_BUDGETMODEL_H
#define BERGAMOTHOOK_TESTS_MODELCHECK_BUDGETMODEL_H

#include "../LibLedger/LedgerFleet.h"

#include <set>
#include <string>

namespace bergamothook {

/// Faults of the design that can be seeded on purpose. Each replaces one
/// function of the project by a wrong one; left out, the right one is used.
struct SeededMistake {
  std::string Name;
  /// Changes each record on its way to the log. \p IsFenced: the log ended the
  /// writer already.
  std::function<void(StreamRecord &, bool IsFenced)> OnAppend;
  /// Runs after the end of \p Dead was written.
  std::function<void(LedgerFleet &, LedgerHost &Dead)> OnEnd;
  /// A witness acknowledges, and keeps nothing.
  bool ForgetsNotes = false;
  /// Each record is handed to the holder twice.
  bool AppliesTwice = false;
  /// A restored host goes on behind the end of the log, whatever the snapshot
  /// covers.
  bool SkipsAfterRestore = false;
};

/// One run of the model.
class BudgetModel {
public:
  static constexpr TokenCount Budget = 12;
  static constexpr TokenCount WorstCase = 4;
  static constexpr int StepCount = 20;

  explicit BudgetModel(const SeededMistake &Mistake);

  /// Does step \p Step. \returns false if it is not possible now.
  bool step(int Step);

  /// \returns the property that is broken, or nothing.
  std::string broken();

  /// The same for states from which the same may follow.
  std::uint64_t digest();

private:
  bool reserve(LedgerHost &On, std::uint64_t Request);
  bool settle(LedgerHost &On);
  bool land(LedgerHost &From, bool IsDoubled);
  bool read(LedgerHost &By);
  bool plan(LedgerHost &On);
  bool deliver(LedgerHost &From);
  bool die(LedgerHost &Victim);
  bool restore(LedgerHost &To, LedgerHost &From);
  void obtain(LedgerHost &By, std::uint64_t Times);
  /// The tokens that were spent, or that an engine may be spending, for
  /// requests that nobody was billed for.
  TokenCount unbilled(const LedgerHost &Of, const BudgetFold &Fold);

  struct Attempt {
    std::size_t Host;
    ReservationId Id;
    std::uint64_t Request;
    bool IsOpen = true;
  };

  const SeededMistake &Mistake;
  LedgerFleet Fleet;
  std::vector<Attempt> Attempts;
  /// The opening moves are done.
  bool IsReady = false;
  std::size_t Doubles = 0;
  std::size_t Restores = 0;
};

} // namespace bergamothook

#endif
