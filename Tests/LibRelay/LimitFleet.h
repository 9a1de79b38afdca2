/// \file
/// Simulation in virtual time of hosts that relay calls to targets, some of
/// which state a rate limit, with failures of hosts and of the network between
/// them.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAY_LIMITFLEET_H
#define BERGAMOTHOOK_TESTS_LIBRELAY_LIMITFLEET_H

#include "LibRelay/RelayDispatcher.h"
#include "LibTask/VirtualRuntime.h"

#include <memory>
#include <set>

namespace bergamothook {

struct LimitFleetSettings {
  int Hosts = 9;
  int FailureDomains = 3;
  int Targets = 4;
  /// How long a target works on one call.
  Duration WorkTime = std::chrono::milliseconds(20);
  /// Range of the one-way delay between hosts.
  Duration MinDelay = std::chrono::milliseconds(1);
  Duration MaxDelay = std::chrono::milliseconds(3);
  /// Lost and duplicated messages between hosts, per thousand.
  std::uint64_t LostPerMille = 0;
  std::uint64_t DuplicatedPerMille = 0;
  /// Answers that report a failure of the target, per thousand; such calls are
  /// sent again.
  std::uint64_t FailedPerMille = 0;
  CallKind Kind = CallKind::Idempotent;
  /// Requests per second that a cold target accepts; 0 without cold targets.
  double ColdPerSecond = 0;
  /// The longest time for which a target is connected to.
  Duration MaxConnectTime{};
  // Defects that tests have to find.
  /// The target is not checked again directly before the send.
  bool SkipsLastCheck = false;
  /// Holders lease their shares again before the earlier lease has ended.
  bool HasShortLeases = false;
  /// A host that has started leases its share at once.
  bool LeasesAfterStart = false;
};

/// The outcomes of the calls since the last reset.
struct LimitFleetResults {
  int Calls = 0;
  int Served = 0;
  int Refused = 0;
  int Failed = 0;
  /// Callers that came back, and those that were served then.
  int Returned = 0;
  int ServedOnReturn = 0;
  /// Refusals without a time after which to retry.
  int RefusedWithoutRetryAfter = 0;
  Duration LongestRefusal{};
};

class LimitFleet {
public:
  explicit LimitFleet(LimitFleetSettings Settings, std::uint64_t Seed);
  ~LimitFleet();

  LimitFleet(const LimitFleet &) = delete;
  LimitFleet &operator=(const LimitFleet &) = delete;

  /// Sets what a target states in its answers from now on.
  void setLimit(int Target, std::optional<double> PerSecond);

  /// A target is cold for a time from now on, as its entry tells all hosts.
  void setCold(int Target, Duration Left);

  /// \returns the most requests that a target got within one second of a cold
  /// period.
  std::size_t mostInColdSecond(int Target) const;

  /// Ends a target; another one without a limit starts at its address. \returns
  /// the index of the new target.
  int replaceTarget(int Target);

  /// Starts one call at a host. If it is refused and \p Returns is set, the
  /// caller comes back once, at the time that it was told.
  void call(int Host, bool Returns = false);

  /// Sends calls to random hosts out of the first \p Hosts, or out of all of
  /// them, for \p Span.
  void load(double PerSecond, Duration Span, int Hosts = 0);

  void kill(int Host);
  /// Starts a new process of each host.
  void restart(const std::vector<int> &Hosts);
  /// Stops a host gracefully.
  void stop(int Host);
  /// Adds a host that was not there before.
  void addHost();
  /// Halts all tasks of a host.
  void freeze(int Host);
  void thaw(int Host);
  /// Cuts a host off from all other hosts. It still reaches the targets.
  void setIsolated(int Host, bool IsIsolated);
  /// Cuts the hosts with indices below \p Below off from the others.
  void split(int Below) { this->SplitBelow = Below; }

  /// While the store is out, no host learns of others that start or leave, and
  /// a host that starts knows only itself and the targets.
  void setStoreOut(bool IsOut);

  bool isRunning(int Host) const;
  int hosts() const { return static_cast<int>(this->Newest.size()); }

  /// \returns the host that is the home of a target's limit while all hosts
  /// respond.
  int homeOf(int Target);

  /// \returns the limit of a target as far as a host knows.
  std::optional<double> limitAt(int Host, int Target);

  /// \returns the requests that a target has received between two times.
  int arrivals(int Target, TimePoint From, TimePoint To) const;

  /// \returns by how many requests, at most, a target got more than its limit
  /// allows: in a span of four seconds, 1.5 times the limit and 5 requests. The
  /// first three seconds after a limit was stated do not count.
  double worstExcess(int Target) const;

  TimePoint now() const { return this->Simulated.now(); }
  void runFor(Duration Span) { this->Simulated.runFor(Span); }

  LimitFleetResults Results;
  std::uint64_t Messages = 0;

private:
  /// One process; kept after its death.
  struct Process {
    Process(LimitFleet &Fleet, int Host, std::uint64_t Run);

    int Host;
    bool IsAlive = true;
    /// Takes no new calls.
    bool IsStopped = false;
    bool HasEnded = false;
    bool IsFrozen = false;
    Event Thawed;
    Metrics Stats;
    TokenBroker Broker;
    RelayDispatcher Dispatcher;
  };

  struct StatedChange {
    TimePoint At;
    std::optional<double> PerSecond;
  };

  struct ModelTarget {
    ListedTarget Listed;
    bool IsGone = false;
    std::vector<StatedChange> Limits;
    std::vector<TimePoint> Arrivals;
    /// When the target was cold.
    std::vector<std::pair<TimePoint, TimePoint>> ColdPeriods;
  };

  /// Serves one call. \returns after which time a refused caller may return.
  std::optional<Duration> serve(Process &Server, RelayOutcome &Outcome);
  Runtime tasksOf(std::size_t Index);
  RosterHost entryOf(int Host, std::uint64_t Run) const;
  TokenHooks tokenHooks(std::size_t Index);
  RelayHooks relayHooks(std::size_t Index);
  RelaySettings relaySettings(int Host, std::uint64_t Run) const;
  Result<TargetExchange> open(std::size_t Index, const ListedTarget &Target);
  void start(int Host);
  void publishRosters();
  void publishTargets();
  void publishCold();
  bool isConnected(int From, int To) const;
  void deliver(int From, int To, const std::string &Bytes);
  Process &process(int Host) {
    return *this->Processes[this->Newest[static_cast<std::size_t>(Host)]];
  }

  LimitFleetSettings Settings;
  Random Rng;
  VirtualRuntime Simulated;
  RelayConfigPtr Config;
  std::vector<ModelTarget> Targets;
  std::vector<std::unique_ptr<Process>> Processes;
  /// The newest process of each host.
  std::vector<std::size_t> Newest;
  std::set<int> Left;
  std::set<int> Isolated;
  int SplitBelow = 0;
  bool IsStoreOut = false;
  /// Numbers the entries of targets.
  std::uint64_t LastEntry = 0;
};

} // namespace bergamothook

#endif
