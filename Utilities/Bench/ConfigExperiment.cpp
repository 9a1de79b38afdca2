/// \file
/// How long an accepted change takes to be in force on every host, and what it
/// costs, against hosts that each poll the log.

#include "Experiment.h"
#include "LibVirtualFleet/VirtualFleet.h"

#include <algorithm>
#include <ctime>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 10ms;
constexpr Duration SettleTime = 120s;
constexpr Duration LongestWait = 60s;
constexpr Duration IdleSpan = 30s;
constexpr int ChangesPerFleet = 8;

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::string changeNumber(int Number) {
  return R"({"team/t)" + std::to_string(Number % 4) +
         R"(": {"settings": {"weight": )" + std::to_string(Number + 1) + "}}}";
}

/// Times in seconds, by host and change.
struct Spread {
  std::vector<double> Times;
  /// Host and change pairs that were not in force at the longest wait.
  std::size_t Missing = 0;

  double quantile(double Share) {
    if (this->Times.empty())
      return 0;
    std::sort(this->Times.begin(), this->Times.end());
    auto Index = static_cast<std::size_t>(
        Share * static_cast<double>(this->Times.size() - 1));
    return this->Times[Index];
  }
};

/// What one fleet is put through.
struct Setting {
  std::size_t Hosts;
  double Loss;
  bool IsLogLost;

  std::string design(const std::string &Way) const {
    return Way + " hosts=" + std::to_string(this->Hosts) +
           " loss=" + std::to_string(static_cast<int>(this->Loss * 100)) + "%" +
           (this->IsLogLost ? " log lost" : " log up");
  }
};

class Report {
public:
  Report(const RowSink &Sink, std::uint64_t Seed) : Sink(Sink), Seed(Seed) {}

  void row(const std::string &Design, const std::string &Metric, double Value,
           const std::string &Unit) const {
    this->Sink({"config", Design, Metric, Value, Unit, this->Seed});
  }

  void spread(const std::string &Design, Spread &Measured) const {
    this->row(Design, "in force p50", Measured.quantile(0.5), "s");
    this->row(Design, "in force p99", Measured.quantile(0.99), "s");
    this->row(Design, "in force max", Measured.quantile(1), "s");
    this->row(Design, "not in force after 60 s",
              static_cast<double>(Measured.Missing), "host changes");
  }

private:
  const RowSink &Sink;
  std::uint64_t Seed;
};

/// Waits for revision \p At on every host.
void awaitEverywhere(VirtualFleet &Fleet, Revision At, Spread &Measured) {
  std::vector<bool> IsThere(Fleet.size());
  std::size_t Left = Fleet.size();
  TimePoint Accepted = Fleet.Simulated.now();
  while (Left > 0 && Fleet.Simulated.now() - Accepted < LongestWait) {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      if (IsThere[Index] || Fleet.node(Index).fold().revision() < At)
        continue;
      IsThere[Index] = true;
      --Left;
      Measured.Times.push_back(seconds(Fleet.Simulated.now() - Accepted));
    }
    if (Left > 0)
      Fleet.Simulated.runFor(Step);
  }
  Measured.Missing += Left;
}

void runFleet(const Setting &Given, std::uint64_t Seed, const Report &Out) {
  VirtualFleet Fleet(Given.Hosts, Seed);
  Fleet.Link.Faults.Loss = Given.Loss;
  Fleet.Log.Faults.Latency = 2ms;
  Fleet.startAll();
  Fleet.Simulated.runFor(SettleTime);
  Spread Measured;
  std::uint64_t Accepted = 0;
  for (int Number = 0; Number < ChangesPerFleet; ++Number) {
    std::size_t Publisher = static_cast<std::size_t>(Number) % Given.Hosts;
    auto Verdict = Fleet.publish(Publisher, changeNumber(Number));
    if (!Verdict || !Verdict.value().IsAccepted)
      continue;
    ++Accepted;
    Fleet.Log.Faults.IsDown = Given.IsLogLost;
    awaitEverywhere(Fleet, Revision{Accepted}, Measured);
    Fleet.Log.Faults.IsDown = false;
    Fleet.Simulated.runFor(1s);
  }
  Out.spread(Given.design("spread"), Measured);

  std::uint64_t BytesBefore = Fleet.Link.Bytes;
  std::uint64_t ReadsBefore = Fleet.LogReads;
  double ProcessorBefore = processorSeconds();
  Fleet.Simulated.runFor(IdleSpan);
  double HostSeconds = seconds(IdleSpan) * static_cast<double>(Given.Hosts);
  std::string Design = Given.design("spread");
  Out.row(Design, "idle bytes sent",
          static_cast<double>(Fleet.Link.Bytes - BytesBefore) / HostSeconds,
          "B/s/host");
  Out.row(Design, "idle processor time, simulation included",
          100 * (processorSeconds() - ProcessorBefore) / HostSeconds,
          "% of a core");
  Out.row(Design, "log reads of the fleet",
          static_cast<double>(Fleet.LogReads - ReadsBefore) / seconds(IdleSpan),
          "1/s");
  std::size_t Degree = 0;
  for (std::size_t Index = 0; Index < Given.Hosts; ++Index)
    Degree = std::max(Degree, Fleet.node(Index).members().view().size());
  Out.row(Design, "largest view", static_cast<double>(Degree), "hosts");
}

/// One host that only polls the log.
struct Poller {
  ConfigReplica Replica;
  Random Dice{0};
};

void runPolling(const Setting &Given, std::uint64_t Seed, const Report &Out) {
  constexpr Duration PollInterval = 1s;
  VirtualRuntime Simulated;
  MemoryLog Log({}, Seed);
  Log.Faults.Latency = 2ms;
  LogHooks Hooks = makeMemoryLogHooks(Log, Simulated.hooks());
  std::uint64_t Reads = 0;
  bool IsStopping = false;
  std::vector<std::unique_ptr<Poller>> Hosts;
  for (std::size_t Index = 0; Index < Given.Hosts; ++Index) {
    Hosts.push_back(std::make_unique<Poller>());
    Poller &Host = *Hosts.back();
    Host.Dice = Random(Seed * 1000 + Index);
    Simulated.hooks().Spawn([&] {
      ConfigLogReader Reader(Host.Replica, Hooks, {});
      while (!IsStopping) {
        ++Reads;
        (void)Reader.readToEnd();
        Simulated.hooks().sleepUntil(Simulated.now() +
                                     Host.Dice.jitter(PollInterval));
      }
    });
  }
  Simulated.runFor(10s);
  Spread Measured;
  for (int Number = 0; Number < ChangesPerFleet; ++Number) {
    ConfigChange Change;
    Change.Id = {1, static_cast<std::uint64_t>(Number)};
    Change.Base = Revision{static_cast<std::uint64_t>(Number)};
    Change.Edits = parseEdits(changeNumber(Number)).value();
    (void)Log.append(ConfigStream, encodeBatch({recordOfChange(Change, {})}),
                     Simulated.now());
    Log.Faults.IsDown = Given.IsLogLost;
    TimePoint Accepted = Simulated.now();
    std::vector<bool> IsThere(Given.Hosts);
    std::size_t Left = Given.Hosts;
    while (Left > 0 && Simulated.now() - Accepted < LongestWait) {
      for (std::size_t Index = 0; Index < Given.Hosts; ++Index)
        if (!IsThere[Index] &&
            Hosts[Index]->Replica.fold().revision() >
                Revision{static_cast<std::uint64_t>(Number)}) {
          IsThere[Index] = true;
          --Left;
          Measured.Times.push_back(seconds(Simulated.now() - Accepted));
        }
      Simulated.runFor(Step);
    }
    Measured.Missing += Left;
    Log.Faults.IsDown = false;
    Simulated.runFor(5s);
  }
  std::uint64_t ReadsBefore = Reads;
  Simulated.runFor(IdleSpan);
  std::string Design = Given.design("poll 1 s");
  Out.spread(Design, Measured);
  Out.row(Design, "log reads of the fleet",
          static_cast<double>(Reads - ReadsBefore) / seconds(IdleSpan), "1/s");
  IsStopping = true;
  Simulated.runFor(10s);
}

/// What a change costs a host at the number of teams of two years on.
void runFold(std::uint64_t Seed, const Report &Out) {
  constexpr int Teams = 9600;
  constexpr int TeamsPerChange = 800;
  ConfigFold Fold;
  std::uint64_t Id = 0;
  auto Apply = [&](const std::string &Edits) {
    ConfigChange Change;
    Change.Id = {Seed, ++Id};
    Change.Base = Fold.revision();
    Change.Edits = parseEdits(Edits).value();
    StreamRecord Record = recordOfChange(Change, {});
    double Before = processorSeconds();
    auto Verdict = Fold.apply(Record, {});
    double Spent = processorSeconds() - Before;
    return Verdict && Verdict->IsAccepted ? Spent : -1;
  };
  auto Template = [](int Weight) {
    return R"({"template/standard": {"parameters": {"rank": 1}, "settings": {
      "priority": {"$param": "rank"}, "models": ["a", "b", "c"],
      "weight": )" +
           std::to_string(Weight) + "}}}";
  };
  (void)Apply(Template(1));
  double Loading = 0;
  for (int First = 0; First < Teams; First += TeamsPerChange) {
    nlohmann::json Edits;
    for (int Team = First; Team < First + TeamsPerChange; ++Team)
      Edits["team/team" + std::to_string(Team)] = {
          {"template", "standard"},
          {"arguments", {{"rank", Team % 7}}},
          {"keys", {toHex(sha256(std::to_string(Team)))}}};
    Loading += Apply(Edits.dump());
  }
  std::string Design = "fold teams=9600";
  Out.row(Design, "fold of all teams", Loading, "s");
  constexpr int Singles = 200;
  double Single = 0;
  for (int Count = 0; Count < Singles; ++Count)
    Single +=
        Apply(R"({"team/team)" + std::to_string(Count) +
              R"(": {"template": "standard", "arguments": {"rank": 2}}})");
  Out.row(Design, "fold of a change of one team", 1e6 * Single / Singles, "us");
  Out.row(Design, "fold of a template of all teams", Apply(Template(2)), "s");
  double Before = processorSeconds();
  constexpr int Snapshots = 1000;
  for (int Count = 0; Count < Snapshots; ++Count)
    (void)Fold.snapshot();
  Out.row(Design, "snapshot", 1e6 * (processorSeconds() - Before) / Snapshots,
          "us");
  Before = processorSeconds();
  std::string State = Fold.encode();
  Out.row(Design, "state written", static_cast<double>(State.size()), "B");
  (void)ConfigFold::decode(State);
  Out.row(Design, "state written and read", processorSeconds() - Before, "s");
  ConfigSnapshot Config = Fold.snapshot();
  Before = processorSeconds();
  std::size_t Found = 0;
  constexpr int Lookups = 100000;
  for (int Count = 0; Count < Lookups; ++Count)
    Found += Config.teamOfToken(std::to_string(Count % Teams)) != nullptr;
  Out.row(Design, "team of a token",
          1e6 * (processorSeconds() - Before) / Lookups, "us");
  Out.row(Design, "tokens found", static_cast<double>(Found), "of 100000");
}

void runConfig(const ExperimentOptions &Options, const RowSink &Sink) {
  Report Out(Sink, Options.Seed);
  runFold(Options.Seed, Out);
  for (std::size_t Hosts : {3, 9, 27, 81, 243})
    for (bool IsLogLost : {false, true}) {
      for (double Loss : {0.0, 0.01, 0.1})
        runFleet({Hosts, Loss, IsLogLost}, Options.Seed, Out);
      runPolling({Hosts, 0, IsLogLost}, Options.Seed, Out);
    }
}

const ExperimentRegistration
    Registered("config",
               "time to in force, bytes and processor time by fleet size",
               runConfig);

} // namespace
