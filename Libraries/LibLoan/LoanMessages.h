/// \file
/// Messages between hosts for loans of tokens: a borrower spends tokens out of
/// the share of a lender. Every message may be lost, delayed or duplicated.

#ifndef BERGAMOTHOOK_LIBLOAN_LOANMESSAGES_H
#define BERGAMOTHOOK_LIBLOAN_LOANMESSAGES_H

#include "LibPeer/PeerSessionManager.h"
#include "LibWallet/WalletRecord.h"

#include <algorithm>
#include <vector>

namespace bergamothook {

/// Message kinds in the protocol between hosts.
enum class LoanMessageKind : std::uint16_t {
  Request = FirstMessageKind + 64,
  Response,
  Return,
  ReturnAck,
  Probe,
  ProbeResponse,
  ShareNotice,
};

/// Maximum length in bytes of a team name in a message.
constexpr std::size_t MaxTeamName = 256;

/// Asks a holder for tokens for one request. Sent again with the same number
/// until a response arrives.
struct LoanRequest {
  /// Sequence number of the loan in the borrowing process.
  std::uint64_t Number = 0;
  std::string Team;
  Tokens Amount = 0;
  /// The budget of the team as known to the borrower.
  Tokens Budget = 0;
  /// How long the lender may wait for tokens before it refuses.
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

enum class LoanStatus : std::uint8_t {
  Granted,
  /// The lender waits for tokens; another response follows.
  Waiting,
  /// The lender does not hold the tokens and can't obtain them now.
  NotInHand,
  /// The remaining budget does not cover the request.
  Exhausted,
  /// The lender is stopping.
  Leaving,
  /// The lender does not hold the tokens and can't reach the log.
  LogLost,
};

const char *nameOf(LoanStatus Value);

struct LoanResponse {
  std::uint64_t Number = 0;
  LoanStatus Status = LoanStatus::NotInHand;

  bool isValid() const { return this->Status <= LoanStatus::LogLost; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Status);
  }
};

/// Ends a loan or cancels a request for one. Sent again until acknowledged.
struct LoanReturn {
  std::uint64_t Number = 0;
  /// The run of the lender that granted the loan; 0 for a request cancelled
  /// before it was decided.
  std::uint64_t LenderRun = 0;
  Tokens Spent = 0;

  bool isValid() const { return this->Spent >= 0; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->LenderRun, this->Spent);
  }
};

/// Acknowledges a LoanReturn.
struct LoanReturnAck {
  std::uint64_t Number = 0;

  static bool isValid() { return true; }

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Number); }
};

/// Probes a silent host; also used as the response to a probe.
struct HostProbe {
  std::uint8_t Reserved = 0;

  static bool isValid() { return true; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Reserved);
  }
};

/// One share in a ShareNotice.
struct NoticedShare {
  std::string Team;
  Tokens Held = 0;
  Tokens Committed = 0;
  /// The offset of its record in the log.
  std::uint64_t Offset = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Held, this->Committed, this->Offset);
  }
};

/// A ShareNotice must fit into a datagram together with the name of a process.
constexpr std::size_t MaxNoticeBytes = 1000;
/// The encoded size of a NoticedShare without its team.
constexpr std::size_t NoticedShareBytes = 32;
/// Maximum length in bytes of the name of a process.
constexpr std::size_t MaxNoticedProcess = 255;

/// Tells other hosts what a process holds, so that they know it if the log
/// loses its latest records and the process dies.
struct ShareNotice {
  std::string Process;
  /// The era of the log that the offsets are of.
  std::uint64_t Era = 0;
  std::vector<NoticedShare> Shares;

  bool isValid() const {
    return this->Process.size() <= MaxNoticedProcess &&
           std::all_of(this->Shares.begin(), this->Shares.end(),
                       [](const NoticedShare &Share) {
                         return Share.Team.size() <= MaxTeamName &&
                                Share.Held >= 0 && Share.Committed >= 0;
                       });
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Process, this->Era, this->Shares);
  }
};

} // namespace bergamothook

#endif
