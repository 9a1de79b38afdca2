/// \file
/// Tokens for the requests of one host, wherever in the fleet they are held.
///
/// Teams are divided into partitions. Each failure domain has one home for a
/// partition, which takes tokens out of the budgets with records on the log;
/// all other hosts borrow from it for one request at a time, and from homes of
/// other domains where it has none or is silent. A loan stays set aside in the
/// lender's wallet until the borrower says what was spent, so that a lost
/// message, a dead or a frozen host strands tokens and never doubles them.

#ifndef BERGAMOTHOOK_LIBLOAN_TOKENBROKER_H
#define BERGAMOTHOOK_LIBLOAN_TOKENBROKER_H

#include "LibLoan/HostRoster.h"
#include "LibLoan/LoanBook.h"
#include "LibLoan/ReturnQueue.h"
#include "LibLoan/WalletService.h"
#include "LibObserve/Metrics.h"
#include "LibPeer/PeerNode.h"

#include <optional>
#include <set>

namespace bergamothook {

/// What all hosts of a fleet must have alike; the first of them wrote it down.
struct FleetFounding {
  /// By which hosts know each other's messages.
  KeyRing Keys;
  /// Into how many partitions teams are divided.
  unsigned Partitions = 1;
};

struct TokenPolicy {
  WalletPolicy Wallets;
  RosterPolicy Roster;
  LoanPolicy Loans;
  ReturnPolicy Returns;
  /// How long a lender may look for tokens for one request: some rounds of a
  /// log that is well.
  Duration LenderWait = std::chrono::milliseconds(150);
  /// The longest that a request waits for tokens of all homes together.
  Duration LongestWait = std::chrono::milliseconds(600);
  /// When an ask is repeated. Some round trips of hosts with little processor
  /// time.
  Duration RepeatAfter = std::chrono::milliseconds(40);
  /// Asks without an answer after which a host counts as silent.
  unsigned MaxAsks = 4;
  /// Homes that one request turns to; a fleet of more failure domains leaves
  /// the others out.
  std::size_t MaxHomes = 6;
  /// Their successors that it turns to where homes can't reach the log.
  std::size_t MaxSuccessors = 2;
  /// How long a host must have been home before it keeps tokens ahead of need:
  /// hosts that start together do not know each other at once.
  Duration HomeSettling = std::chrono::seconds(2);
  /// How long a home that had too few tokens is not asked for as many again.
  Duration RefusalLifetime = std::chrono::milliseconds(400);
};

struct TokenHooks {
  Runtime Tasks;
  /// The log of one partition.
  std::function<WalletLog(unsigned Partition)> MakeLog;
  /// Sends a datagram to an address of the form IP:PORT. Does not block.
  std::function<void(const std::string &Address, std::string Bytes)>
      SendDatagram;
};

/// Tokens that are set aside for one request.
struct TokenReservation {
  std::string Team;
  Tokens Amount = 0;
  /// The loan's number; nothing when they are this process's own.
  std::optional<std::uint64_t> Number;
  /// Who lent them.
  Incarnation Lender;
};

/// All calls come from tasks of one runtime.
class TokenBroker {
public:
  TokenBroker(RosterHost Self, std::string Process, TokenPolicy Policy,
              TokenHooks Hooks, Metrics &Measured, std::uint64_t Seed);

  /// Starts the wallets and the messages between hosts. Before that, requests
  /// of teams with a budget are refused.
  void begin(const FleetFounding &Founding);
  bool hasBegun() const { return this->Peers.has_value(); }

  /// Looks after homes, returns and silent hosts until stop(). A task of its
  /// own.
  void run();

  /// Waits until loans are back, at most until \p LoansUntil; then hands back
  /// what is in hand, and waits until that is on the log, at most until \p
  /// Deadline.
  void stop(TimePoint LoansUntil, TimePoint Deadline);

  /// Lends nothing more, and is home of nothing.
  void beginStop();

  /// Sets tokens aside for one request, waiting for them until \p Deadline at
  /// most or until \p IsGivenUp holds.
  Result<TokenReservation> reserve(const std::string &Team, Tokens Amount,
                                   TimePoint Deadline,
                                   const std::function<bool()> &IsGivenUp);

  /// Ends a hold, of which \p Spent tokens were spent.
  void settle(const TokenReservation &Hold, Tokens Spent);

  /// \returns whether that is another budget than before.
  bool setBudget(const std::string &Team, Tokens Budget);

  /// Takes a datagram of another host.
  void received(std::string Bytes);

  HostRoster &roster() { return this->Roster; }
  /// The wallet that holds tokens of \p Team; null before begin().
  WalletService *walletOf(const std::string &Team);
  const LoanBook &loans() const { return this->Loans; }
  const ReturnQueue &returns() const { return this->Returns; }

  /// Sets the gauges of tokens and loans.
  void measure();

private:
  /// An ask that waits for its answer.
  struct PendingAsk {
    LoanVerdict Verdict = LoanVerdict::Waiting;
    bool IsHeard = false;
    Incarnation Lender;
    Event Changed;
  };

  /// The least amount that a home lately refused.
  struct Refusal {
    Tokens Amount = 0;
    TimePoint EndsAt{};
  };

  /// How one home answered one request.
  enum class HomeAnswer { Granted, NotInHand, LogLost, Exhausted, Silent };

  /// The host to ask next; nothing when none is left.
  std::optional<HostId> nextHome(unsigned Partition,
                                 const std::set<HostId> &Asked, bool IsLogLost);
  unsigned partitionOf(const std::string &Team) const;
  HomeAnswer reserveOwn(const std::string &Team, Tokens Amount, TimePoint End,
                        const std::function<bool()> &IsGivenUp);
  HomeAnswer borrow(HostId Lender, TokenReservation &Hold, TimePoint End,
                    const std::function<bool()> &IsGivenUp);
  HomeAnswer awaitAnswer(HostId Lender, const LoanAsk &Ask, PendingAsk &Asked,
                         TimePoint End, const std::function<bool()> &IsGivenUp);
  bool isRefused(const std::string &Team, HostId Home, Tokens Amount) const;
  void noteNotInHand(const std::string &Team, HostId Home, Tokens Amount);
  void giveBack(HostId Lender, const LoanReturn &Message);
  void noteRefusal(const std::string &Team, Tokens Amount,
                   const std::vector<std::string> &Asked);

  void setHandlers();
  void onAsk(const Incarnation &From, const LoanAsk &Ask);
  void lendLater(const LoanId &Id, const LoanAsk &Ask);
  LoanVerdict refusalOf(const LoanAsk &Ask, std::error_code Reason);
  void onAnswer(const Incarnation &From, const LoanAnswer &Answer);
  void onReturn(const Incarnation &From, const LoanReturn &Message);
  void answer(const Incarnation &To, std::uint64_t Number, LoanVerdict Verdict);
  template <typename Message>
  void handle(LoanMessageKind Kind,
              std::function<void(const Incarnation &, const Message &)> Take);
  template <typename Message>
  void send(HostId To, LoanMessageKind Kind, const Message &Body);

  void noteSilent(HostId Host);
  void updateHomes();
  void sendDue();

  std::string Process;
  TokenPolicy Policy;
  TokenHooks Hooks;
  Runtime Tasks;
  Metrics &Measured;
  std::uint64_t Seed;
  HostRoster Roster;
  LoanBook Loans;
  ReturnQueue Returns;
  /// The budgets that are known, also before begin().
  std::map<std::string, Tokens> Budgets;
  std::map<unsigned, WalletService> Wallets;
  /// Since when this host has been home of a partition.
  std::map<unsigned, TimePoint> HomeSince;
  std::optional<PeerNode> Peers;
  std::map<std::uint64_t, PendingAsk> Asks;
  /// By team and home.
  std::map<std::pair<std::string, HostId>, Refusal> Refusals;
  std::uint64_t LastNumber = 0;
  /// Notified when a return waits, or the desk stops.
  Event Woken;
  /// Notified when a loan has ended.
  Event LoanEnded;
  bool IsStopping = false;
  bool IsStopped = false;
};

} // namespace bergamothook

#endif
