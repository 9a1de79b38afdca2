/// \file
/// Hosts that spend the budgets of teams together, in virtual time, on logs and
/// a network that fail.

#ifndef BERGAMOTHOOK_TESTS_LIBLOAN_TOKENFLEET_H
#define BERGAMOTHOOK_TESTS_LIBLOAN_TOKENFLEET_H

#include "LibBase/Random.h"
#include "LibLoan/TokenBroker.h"
#include "LibTask/VirtualRuntime.h"

#include <memory>
#include <set>

namespace bergamothook {

struct TokenFleetSettings {
  int Hosts = 6;
  int FailureDomains = 3;
  int Teams = 4;
  unsigned Partitions = 2;
  Tokens Budget = 1'000'000;
  /// One way between hosts, at the least and the most.
  Duration Delay = std::chrono::milliseconds(1);
  Duration LongestDelay = std::chrono::milliseconds(3);
  /// Messages lost, and messages that come twice, of a thousand.
  std::uint64_t Lost = 0;
  std::uint64_t Doubled = 0;
  /// Appends whose answer is lost, of a thousand; half of them land late.
  std::uint64_t Unanswered = 0;
  /// Appends that the store takes of one partition at a time, each in this
  /// time.
  Duration AppendTime = std::chrono::milliseconds(4);
};

/// What became of the requests.
struct TokenFigures {
  int Asked = 0;
  int Granted = 0;
  int NotInHand = 0;
  int Exhausted = 0;
  Duration LongestWait{};
};

class TokenFleet {
public:
  TokenFleet(TokenFleetSettings Settings, std::uint64_t Seed);
  ~TokenFleet();

  TokenFleet(const TokenFleet &) = delete;
  TokenFleet &operator=(const TokenFleet &) = delete;

  /// Lets one host take a request of \p Amount tokens that lasts \p Span, and
  /// spends \p Spent of them.
  void request(int Host, const std::string &Team, Tokens Amount, Tokens Spent,
               Duration Span);

  /// Sends \p Rate requests a second to random hosts for \p Span. Each is of
  /// \p Amount tokens at most, and lasts 300 ms.
  void load(double Rate, Tokens Amount, Duration Span);

  /// Kills the process of a host; its requests end unheard.
  void kill(int Host);
  /// Starts a new process of a host.
  void restart(int Host);
  /// Stops a host as planned.
  void stop(int Host);
  bool isAlive(int Host) const;

  /// Cuts a host from all others, or from the log.
  void setCut(int Host, bool IsCut);
  void setLogCut(int Host, bool IsCut);
  void setLogDown(bool IsDown) { this->IsLogDown = IsDown; }

  void setBudget(Tokens Budget);

  /// What all requests ever spent or may yet spend, dead hosts' among them.
  Tokens committed(const std::string &Team) const;
  /// What the log says is held.
  Tokens heldOnLog(const std::string &Team) const;

  std::string teamOf(int Number) const {
    return "team-" + std::to_string(Number);
  }

  TokenBroker &desk(int Host);
  int hosts() const { return this->Settings.Hosts; }
  const TokenFleetSettings &settings() const { return this->Settings; }
  std::uint64_t appends() const { return this->Appends; }
  std::uint64_t appendsMoved() const { return this->AppendsMoved; }
  std::uint64_t reads() const { return this->Reads; }
  std::uint64_t messages() const { return this->Messages; }

  VirtualRuntime Simulated;
  TokenFigures Figures;
  Random Dice;
  Tokens Budget = 0;

private:
  struct Partition {
    std::vector<WalletRecord> Records;
    /// Until when the partition takes earlier appends.
    TimePoint BusyUntil{};
  };

  /// One process, also after its death.
  struct Process {
    Process(TokenFleet &Fleet, int Host, std::uint64_t Run);

    int Host;
    bool IsAlive = true;
    TokenBroker Desk;
  };

  RosterHost entryOf(int Host, std::uint64_t Run) const;
  TokenHooks hooksOf(int Host, std::size_t Process);
  WalletLog logOf(int Host, std::size_t Process, unsigned Part);
  WalletAppend append(Partition &To, std::uint64_t At,
                      std::vector<WalletRecord> Records);
  bool reachesLog(int Host, std::size_t Process) const;
  void deliver(const std::string &Address, const std::string &Bytes);
  void start(int Host);

  TokenFleetSettings Settings;
  Metrics Measured;
  std::vector<Partition> Log;
  std::vector<std::unique_ptr<Process>> Processes;
  /// The newest process of each host.
  std::vector<std::size_t> Newest;
  std::set<int> Cut;
  std::set<int> LogCut;
  bool IsLogDown = false;
  /// Spent, or in use by requests in progress.
  std::map<std::string, Tokens> Spent;
  std::uint64_t Appends = 0;
  std::uint64_t AppendsMoved = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Messages = 0;
};

} // namespace bergamothook

#endif
