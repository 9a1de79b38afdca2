/// \file
/// What hosts tell each other about tokens that one spends out of the share of
/// another. Each message may get lost, come late or twice.

#ifndef BERGAMOTHOOK_LIBLOAN_LOANMESSAGES_H
#define BERGAMOTHOOK_LIBLOAN_LOANMESSAGES_H

#include "LibPeer/PeerSessionManager.h"
#include "LibWallet/WalletRecord.h"

namespace bergamothook {

/// The kinds of the messages in the protocol between hosts.
enum class LoanMessageKind : std::uint16_t {
  Ask = FirstMessageKind + 64,
  Answer,
  Return,
  Receipt,
  Probe,
  ProbeAnswer,
};

/// The longest name of a team that is read from a message.
constexpr std::size_t MaxTeamName = 256;

/// Asks a holder for tokens for one request. Repeated with the same number
/// until it is answered.
struct LoanAsk {
  /// Counts the loans that the borrowing process asked for.
  std::uint64_t Number = 0;
  std::string Team;
  Tokens Amount = 0;
  /// The budget of the team as the borrower knows it.
  Tokens Budget = 0;
  /// How long the lender may look for tokens before it refuses.
  std::uint32_t WaitMilliseconds = 0;

  bool isValid() const {
    return this->Amount > 0 && !this->Team.empty() &&
           this->Team.size() <= MaxTeamName;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Team, this->Amount, this->Budget,
       this->WaitMilliseconds);
  }
};

enum class LoanVerdict : std::uint8_t {
  Granted,
  /// The lender waits for tokens; another answer follows.
  Waiting,
  /// The tokens are not in the lender's hand, nor can it get them now.
  NotInHand,
  /// What is left of the budget does not cover the request.
  Exhausted,
  /// The lender is stopping.
  Leaving,
  /// The tokens are not in the lender's hand, and it can't reach the log.
  LogLost,
};

const char *nameOf(LoanVerdict Value);

struct LoanAnswer {
  std::uint64_t Number = 0;
  LoanVerdict Verdict = LoanVerdict::NotInHand;

  bool isValid() const { return this->Verdict <= LoanVerdict::LogLost; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Verdict);
  }
};

/// Ends a loan, or the ask for one. Repeated until the receipt comes.
struct LoanReturn {
  std::uint64_t Number = 0;
  /// The run of the lender that granted the loan; 0 for an ask that was given
  /// up before any answer.
  std::uint64_t LenderRun = 0;
  Tokens Spent = 0;

  bool isValid() const { return this->Spent >= 0; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->LenderRun, this->Spent);
  }
};

/// Says that a return was taken.
struct LoanReceipt {
  std::uint64_t Number = 0;

  static bool isValid() { return true; }

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Number); }
};

/// Asks a host that was silent whether it is back, and answers that.
struct HostProbe {
  std::uint8_t Reserved = 0;

  static bool isValid() { return true; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Reserved);
  }
};

} // namespace bergamothook

#endif
