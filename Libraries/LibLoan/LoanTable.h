/// \file
/// The loans that one process has granted.

#ifndef BERGAMOTHOOK_LIBLOAN_LOANTABLE_H
#define BERGAMOTHOOK_LIBLOAN_LOANTABLE_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

#include <deque>
#include <map>
#include <optional>

namespace bergamothook {

/// Identifies a loan by the borrowing process and that process's loan number.
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
  /// Requested, but not yet granted or refused.
  Waiting,
  Granted,
  /// Ended or cancelled recently; late requests for it are ignored.
  Ended,
};

struct LoanPolicy {
  /// Maximum number of open loans; further requests are refused.
  std::size_t MaxOpen = 20'000;
  /// How long the end of a loan is remembered, to ignore late requests for it.
  /// A request that arrives later than that strands its tokens, which is the
  /// only harm.
  Duration EndedRetention = std::chrono::seconds(30);
};

/// A loan stays reserved in the lender's wallet until the borrower reports what
/// was spent, with no timeout. A dead borrower strands its tokens, but no token
/// is ever spent twice.
class LoanTable {
public:
  explicit LoanTable(LoanPolicy Policy) : Policy(Policy) {}

  LoanState stateOf(const LoanId &Id) const;

  /// Adds a requested loan. \returns false if it is already present or too many
  /// loans are open.
  bool begin(const LoanId &Id, const Loan &Requested);

  /// Marks a requested loan as granted, after its tokens were reserved.
  /// \returns false if the borrower has cancelled it; the lender keeps the
  /// tokens.
  bool grant(const LoanId &Id);

  /// Removes a requested loan for which there are no tokens.
  void refuse(const LoanId &Id);

  /// Ends a granted loan or cancels a requested one. \returns the loan if it
  /// was granted and has not been ended before.
  std::optional<Loan> end(const LoanId &Id, TimePoint Now);

  /// Removes loans that ended longer than EndedRetention ago.
  void expire(TimePoint Now);

  /// \returns the number of granted and requested loans.
  std::size_t open() const { return this->OpenCount; }

  /// \returns the sum of the granted loans of \p Team.
  Tokens lent(const std::string &Team) const;

private:
  struct Entry {
    LoanState State = LoanState::Waiting;
    Loan Terms;
  };

  struct Ended {
    TimePoint At{};
    LoanId Id;
  };

  LoanPolicy Policy;
  std::map<LoanId, Entry> Loans;
  std::map<std::string, Tokens> Lent;
  /// Ended loans, oldest first.
  std::deque<Ended> EndedLoans;
  std::size_t OpenCount = 0;
};

} // namespace bergamothook

#endif
