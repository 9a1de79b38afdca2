/// \file
/// Reserves tokens for the requests of one host, whichever host holds them.
///
/// Teams are divided into partitions. Each failure domain has one home for a
/// partition, which allocates tokens from the budgets with records on the log.
/// All other hosts borrow from it for one request at a time, or from the homes
/// of other failure domains if it has no tokens or is silent. A loan stays
/// reserved in the lender's wallet until the borrower reports what was spent. A
/// lost message or a dead or suspended host can therefore strand tokens, but
/// never causes them to be spent twice.

#ifndef BERGAMOTHOOK_LIBLOAN_TOKENBROKER_H
#define BERGAMOTHOOK_LIBLOAN_TOKENBROKER_H

#include "LibLoan/HostRoster.h"
#include "LibLoan/LoanTable.h"
#include "LibLoan/ReturnQueue.h"
#include "LibLoan/WalletService.h"
#include "LibObserve/Metrics.h"
#include "LibPeer/PeerNode.h"

#include <optional>
#include <set>

namespace bergamothook {

/// Settings that all hosts of a fleet must share; stored by the first host.
struct FleetFounding {
  /// Keys that authenticate messages between hosts.
  KeyRing Keys;
  /// Number of partitions into which teams are divided.
  unsigned Partitions = 1;
};

struct TokenPolicy {
  WalletPolicy Wallets;
  RosterPolicy Roster;
  LoanPolicy Loans;
  ReturnPolicy Returns;
  /// How long a lender may wait for tokens for one request. Long enough for
  /// several rounds while the log is available.
  Duration LenderTimeout = std::chrono::milliseconds(150);
  /// Maximum time that a request waits for tokens, over all homes.
  Duration MaxWait = std::chrono::milliseconds(600);
  /// Time before an unanswered loan request is sent again. Covers several round
  /// trips between hosts with little CPU time.
  Duration RequestRetryInterval = std::chrono::milliseconds(40);
  /// Number of unanswered loan requests after which a host counts as silent.
  unsigned MaxRequestAttempts = 4;
  /// Maximum number of homes tried for one request. Homes of further failure
  /// domains are left out.
  std::size_t MaxHomes = 6;
  /// Maximum number of successors tried if homes can't reach the log.
  std::size_t MaxSuccessors = 2;
  /// How long a host must have been home before it keeps idle tokens. Hosts
  /// that start together take a moment to discover each other.
  Duration HomeStabilizationTime = std::chrono::seconds(2);
  /// How long a home that refused an amount is not asked for as much again.
  Duration RefusalLifetime = std::chrono::milliseconds(400);
};

struct TokenHooks {
  Runtime Tasks;
  /// Creates the log of one partition.
  std::function<WalletLog(unsigned Partition)> MakeLog;
  /// Sends a datagram to an address of the form IP:PORT. Does not block.
  std::function<void(const std::string &Address, std::string Bytes)>
      SendDatagram;
};

/// Tokens reserved for one request.
struct TokenReservation {
  std::string Team;
  Tokens Amount = 0;
  /// The number of the loan; empty if the tokens are held by this process.
  std::optional<std::uint64_t> Number;
  /// The process that lent the tokens.
  Incarnation Lender;
};

/// All calls must come from tasks of one runtime.
class TokenBroker {
public:
  TokenBroker(RosterHost Self, std::string Process, TokenPolicy Policy,
              TokenHooks Hooks, Metrics &Measured, std::uint64_t Seed);

  /// Starts the wallets and the messaging between hosts. Before that, reserve()
  /// fails with WalletError::NotReady.
  void begin(const FleetFounding &Founding);
  bool hasBegun() const { return this->Peers.has_value(); }

  /// The keys that hosts share; null before begin().
  const KeyRing *keys() const { return this->Keys ? &*this->Keys : nullptr; }

  /// Updates homes, retries returns and probes silent hosts until stop(). Runs
  /// in its own task.
  void run();

  /// Waits until all loans have ended, at most until \p LoansUntil. Then
  /// returns idle tokens and waits until that is on the log, at most until \p
  /// Deadline.
  void stop(TimePoint LoansUntil, TimePoint Deadline);

  /// Stops lending and being home of any partition.
  void beginStop();

  /// Reserves tokens for one request, waiting for them at most until \p
  /// Deadline or until \p IsCancelled returns true. Fails with
  /// WalletError::NoBudget if the team has no budget, or none any more.
  Result<TokenReservation> reserve(const std::string &Team, Tokens Amount,
                                   TimePoint Deadline,
                                   const std::function<bool()> &IsCancelled);

  /// Ends a reservation of which \p Spent tokens were spent.
  void settle(const TokenReservation &Reservation, Tokens Spent);

  /// \returns whether the budget changed.
  bool setBudget(const std::string &Team, Tokens Budget);

  /// Forgets the budgets of all teams but \p Teams: their tokens can't be
  /// reserved any more, and idle ones are returned. \returns the teams whose
  /// budget was forgotten.
  std::vector<std::string> keepBudgets(const std::set<std::string> &Teams);

  /// Sets the handler of a message kind that is not about tokens. Must be
  /// called before begin().
  void setMessageHandler(std::uint16_t Kind, PeerNode::Handler Callback) {
    this->OtherHandlers[Kind] = std::move(Callback);
  }

  /// Sends a message that may be lost. Dropped before begin().
  void sendMessage(HostId To, std::uint16_t Kind, std::string_view Body);

  /// States whether the log can be reached. While it can't, what this process
  /// holds is told to all hosts: the log may come back without it.
  void setLogReachable(bool IsReachable);

  /// Marks a host that did not answer, for all protocols between hosts.
  void markHostSilent(HostId Host);

  /// Handles a datagram from another host.
  void received(std::string Bytes);

  HostRoster &roster() { return this->Roster; }
  /// \returns the wallet that holds tokens of \p Team; null before begin().
  WalletService *walletOf(const std::string &Team);
  const LoanTable &loans() const { return this->Loans; }
  const ReturnQueue &pendingReturns() const { return this->Returns; }

  /// Updates the gauges for hosts, tokens and loans.
  void measure();

private:
  /// A loan request that waits for its response.
  struct PendingRequest {
    LoanStatus Status = LoanStatus::Waiting;
    bool IsAcknowledged = false;
    Incarnation Lender;
    Event Changed;
  };

  /// The smallest amount that a home recently refused.
  struct Refusal {
    Tokens Amount = 0;
    TimePoint ExpiresAt{};
  };

  /// The outcome of one request at one home.
  enum class HomeOutcome { Granted, NotInHand, LogLost, Exhausted, Silent };

  /// \returns the host to ask next; nothing if none is left.
  std::optional<HostId> nextHome(unsigned Partition,
                                 const std::set<HostId> &Asked, bool IsLogLost);
  unsigned partitionOf(const std::string &Team) const;
  HomeOutcome reserveOwn(const std::string &Team, Tokens Amount, TimePoint End,
                         const std::function<bool()> &IsCancelled);
  HomeOutcome borrow(HostId Lender, Tokens Budget,
                     TokenReservation &Reservation, TimePoint End,
                     const std::function<bool()> &IsCancelled);
  HomeOutcome awaitResponse(HostId Lender, const LoanRequest &Request,
                            PendingRequest &Pending, TimePoint End,
                            const std::function<bool()> &IsCancelled);
  bool wasRecentlyRefused(const std::string &Team, HostId Home,
                          Tokens Amount) const;
  void recordRefusal(const std::string &Team, HostId Home, Tokens Amount);
  void returnLoan(HostId Lender, const LoanReturn &Message);
  void logRefusal(const std::string &Team, Tokens Amount,
                  const std::vector<std::string> &Outcomes);

  void setHandlers();
  void onLoanRequest(const Incarnation &From, const LoanRequest &Request);
  void lendWhenAvailable(const LoanId &Id, const LoanRequest &Request);
  LoanStatus refusalStatus(const LoanRequest &Request, std::error_code Reason);
  void onLoanResponse(const Incarnation &From, const LoanResponse &Response);
  void onLoanReturn(const Incarnation &From, const LoanReturn &Message);
  void respond(const Incarnation &To, std::uint64_t Number, LoanStatus Status);
  template <typename Message>
  void handle(LoanMessageKind Kind,
              std::function<void(const Incarnation &, const Message &)> Take);
  template <typename Message>
  void send(HostId To, LoanMessageKind Kind, const Message &Body);

  void markHostResponsive(HostId Host);
  void updateHomes();
  void sendDueMessages();
  void sendShares(const std::vector<HostId> &Hosts,
                  const std::vector<WalletRecord> &Shares);
  void onShareNotice(const ShareNotice &Notice);

  std::string Process;
  TokenPolicy Policy;
  TokenHooks Hooks;
  Runtime Tasks;
  Metrics &Measured;
  std::uint64_t Seed;
  HostRoster Roster;
  LoanTable Loans;
  ReturnQueue Returns;
  /// Known budgets, also before begin().
  std::map<std::string, Tokens> Budgets;
  std::map<unsigned, WalletService> Wallets;
  /// When this host became home of a partition.
  std::map<unsigned, TimePoint> HomeSince;
  std::map<std::uint16_t, PeerNode::Handler> OtherHandlers;
  std::optional<KeyRing> Keys;
  std::optional<PeerNode> Peers;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  /// By team and home.
  std::map<std::pair<std::string, HostId>, Refusal> Refusals;
  std::uint64_t LastNumber = 0;
  /// Notified when a return is queued or the broker stops.
  Event WorkAvailable;
  /// Notified when a loan has ended.
  Event LoanEnded;
  bool IsLogReachable = true;
  TimePoint NextShareNotice{};
  Duration ShareNoticePause{};
  bool IsStopping = false;
  bool IsStopped = false;
};

} // namespace bergamothook

#endif
