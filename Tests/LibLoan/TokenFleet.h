/// \file
/// Simulation in virtual time of hosts that share the budgets of teams, with
/// failures of the log and the network.

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
  /// Range of the one-way delay between hosts.
  Duration MinDelay = std::chrono::milliseconds(1);
  Duration MaxDelay = std::chrono::milliseconds(3);
  /// Lost and duplicated messages, per thousand.
  std::uint64_t LostPerMille = 0;
  std::uint64_t DuplicatedPerMille = 0;
  /// Appends whose response is lost, per thousand; half of them take effect
  /// late.
  std::uint64_t UnansweredPerMille = 0;
  /// Duration of one append. The store runs the appends of a partition one at a
  /// time.
  Duration AppendTime = std::chrono::milliseconds(4);
};

/// Outcomes of the requests.
struct RequestResults {
  int Requested = 0;
  int Granted = 0;
  int NotInHand = 0;
  int Exhausted = 0;
  Duration MaxWait{};
};

class TokenFleet {
public:
  TokenFleet(TokenFleetSettings Settings, std::uint64_t Seed);
  ~TokenFleet();

  TokenFleet(const TokenFleet &) = delete;
  TokenFleet &operator=(const TokenFleet &) = delete;

  /// Starts a request on one host that reserves \p Amount tokens, lasts \p Span
  /// and spends \p Spent of them.
  void request(int Host, const std::string &Team, Tokens Amount, Tokens Spent,
               Duration Span);

  /// Sends \p Rate requests per second to random hosts for \p Span. Each one
  /// reserves \p Amount tokens at most and lasts 300 ms.
  void load(double Rate, Tokens Amount, Duration Span);

  /// Kills the process of a host; its requests are never settled.
  void kill(int Host);
  /// Starts a new process of a host.
  void restart(int Host);
  /// Stops a host gracefully.
  void stop(int Host);
  bool isAlive(int Host) const;

  /// Disconnects a host from all other hosts, or only from the log.
  void setIsolated(int Host, bool IsIsolated);
  void setLogUnreachable(int Host, bool IsUnreachable);
  void setLogUnavailable(bool IsUnavailable);

  /// The log comes back as it was \p Age ago.
  void restoreLog(Duration Age);

  void setBudget(Tokens Budget);

  /// \returns what all requests have spent or may yet spend, including requests
  /// on dead hosts.
  Tokens committed(const std::string &Team) const;
  /// \returns the tokens held according to the log.
  Tokens heldOnLog(const std::string &Team) const;

  std::string teamOf(int Number) const {
    return "team-" + std::to_string(Number);
  }

  TokenBroker &broker(int Host);
  int hosts() const { return this->Settings.Hosts; }
  const TokenFleetSettings &settings() const { return this->Settings; }
  std::uint64_t appends() const { return this->Appends; }
  std::uint64_t rejectedAppends() const { return this->RejectedAppends; }
  std::uint64_t reads() const { return this->Reads; }
  std::uint64_t messages() const { return this->Messages; }

  VirtualRuntime Simulation;
  RequestResults Results;
  Random Rng;
  Tokens Budget = 0;

private:
  struct Partition {
    std::vector<WalletRecord> Records;
    /// When each record was appended.
    std::vector<TimePoint> Times;
    /// Until when earlier appends occupy the partition.
    TimePoint BusyUntil{};
  };

  /// One process; kept after its death.
  struct Process {
    Process(TokenFleet &Fleet, int Host, std::uint64_t Run);

    int Host;
    bool IsAlive = true;
    TokenBroker Broker;
  };

  RosterHost entryOf(int Host, std::uint64_t Run) const;
  TokenHooks hooksOf(int Host, std::size_t Process);
  WalletLog logOf(int Host, std::size_t Process, unsigned PartitionIndex);
  WalletAppend append(Partition &Destination, std::uint64_t At,
                      std::vector<WalletRecord> Records);
  bool reachesLog(int Host, std::size_t Process) const;
  void deliver(const std::string &Address, const std::string &Bytes);
  void start(int Host);

  TokenFleetSettings Settings;
  Metrics Measured;
  std::vector<Partition> Log;
  std::vector<std::unique_ptr<Process>> Processes;
  /// The newest process of each host.
  std::vector<std::size_t> NewestProcess;
  std::set<int> IsolatedHosts;
  std::set<int> LogUnreachableHosts;
  bool IsLogUnavailable = false;
  std::uint64_t Era = 0;
  /// Tokens spent or reserved by requests in progress, by team.
  std::map<std::string, Tokens> Spent;
  std::uint64_t Appends = 0;
  std::uint64_t RejectedAppends = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Messages = 0;
};

} // namespace bergamothook

#endif
