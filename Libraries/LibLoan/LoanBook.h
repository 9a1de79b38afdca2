/// \file
/// The loans that one process has given.

#ifndef BERGAMOTHOOK_LIBLOAN_LOANBOOK_H
#define BERGAMOTHOOK_LIBLOAN_LOANBOOK_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

#include <deque>
#include <map>
#include <optional>

namespace bergamothook {

/// Names a loan: the process that borrows, and its count.
struct LoanId {
  Incarnation Borrower;
  std::uint64_t Number = 0;

  auto operator<=>(const LoanId &) const = default;
};

struct Loan {
  std::string Team;
  Tokens Amount = 0;
};

enum class LoanState {
  Unknown,
  /// Asked for, and not decided.
  Waiting,
  Granted,
  /// Ended or given up a while ago; asks that come late are ignored.
  Ended,
};

struct LoanPolicy {
  /// Loans that are open at the same time; further asks are refused.
  std::size_t MaxOpen = 20'000;
  /// How long the end of a loan is remembered, for asks that come late. One
  /// that comes later still strands its tokens, and no more.
  Duration EndedLifetime = std::chrono::seconds(30);
};

/// A loan stays set aside in the lender's wallet until its borrower says what
/// was spent, however long that takes: a borrower that died strands it, and
/// nothing ever counts twice.
class LoanBook {
public:
  explicit LoanBook(LoanPolicy Policy) : Policy(Policy) {}

  LoanState stateOf(const LoanId &Id) const;

  /// Notes an ask. \returns false when too many loans are open.
  bool begin(const LoanId &Id, const Loan &Asked);

  /// Notes that the tokens were set aside. \returns false if the borrower has
  /// given up meanwhile: the tokens are the lender's again.
  bool grant(const LoanId &Id);

  /// Notes that there were no tokens.
  void refuse(const LoanId &Id);

  /// Ends a loan or an ask. \returns what was set aside, for the first end of a
  /// granted loan.
  std::optional<Loan> end(const LoanId &Id, TimePoint Now);

  /// Forgets ends that are old.
  void expire(TimePoint Now);

  /// Loans that are granted or waited for.
  std::size_t open() const { return this->OpenCount; }

  /// What the granted loans of \p Team come to.
  Tokens lent(const std::string &Team) const;

private:
  struct Entry {
    LoanState State = LoanState::Waiting;
    Loan Of;
  };

  struct Ended {
    TimePoint At{};
    LoanId Id;
  };

  LoanPolicy Policy;
  std::map<LoanId, Entry> Loans;
  std::map<std::string, Tokens> Lent;
  /// In the order of their ends.
  std::deque<Ended> EndedInOrder;
  std::size_t OpenCount = 0;
};

} // namespace bergamothook

#endif
