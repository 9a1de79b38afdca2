#include "BudgetsDesign.h"
#include "Experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace bergamothook::budgets {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration Tick = milliseconds(10);
constexpr Duration RunTime = minutes(25);
constexpr Duration FaultBegin = minutes(10);
constexpr Duration FaultEnd = minutes(20);
constexpr Duration WaitLimit = seconds(2);
constexpr Duration RetryAfterDeath = seconds(1);
constexpr Duration DeathInterval = seconds(30);
constexpr Duration RestartTime = seconds(5);
constexpr Duration PauseInterval = seconds(60);
constexpr Duration PauseTime = seconds(40);
constexpr double LostAnswers = 0.05;

/// One user's size and load.
struct Site {
  std::string Name;
  std::size_t Hosts;
  double RequestsPerSecond;
  TokenCount MeanTokens;
  TokenCount WorstCase;
  /// How many seconds of its own load a team's budget covers at the start, and
  /// how many seconds' worth each top-up of a minute adds.
  double BudgetSeconds;
  double TopUpSeconds;
};

struct Faults {
  std::string Name;
  bool HasPartition = false;
  bool HasOutage = false;
  bool HasDeaths = false;
  bool HasPauses = false;
  bool HasLostAnswers = false;
};

struct Running {
  std::size_t Host = 0;
  std::uint64_t Handle = 0;
  std::size_t Team = 0;
  RequestId Request;
  std::uint32_t Attempt = 1;
  TokenCount Tokens = 0;
  TimePoint Arrived;
  TimePoint Ends;
};

struct Figures {
  std::uint64_t Requests = 0;
  std::uint64_t FalseRefusals = 0;
  std::uint64_t Refusals = 0;
  TokenCount Overspend = 0;
  TokenCount StrandedPeak = 0;
  double StrandedMean = 0;
  TokenCount Unspendable = 0;
  std::vector<double> WaitMilliseconds;
};

class Trial {
public:
  Trial(World &In, Design &Under, const Site &At, const Faults &Having,
        std::uint64_t Seed)
      : In(In), Under(Under), At(At), Having(Having), Dice(Seed) {
    // A few large teams and many small ones.
    for (std::size_t Team = 0; Team < TeamCount; ++Team)
      this->Weights.push_back(1.0 / static_cast<double>(Team + 1));
    for (double Weight : this->Weights)
      this->WeightSum += Weight;
    this->ToppedUp.resize(TeamCount);
    this->Spent.resize(TeamCount);
    this->Reserved.resize(TeamCount);
  }

  Figures run() {
    TimePoint Begin = this->In.Now;
    for (std::size_t Team = 0; Team < TeamCount; ++Team)
      this->topUp(Team, this->At.BudgetSeconds);
    for (int Warm = 0; Warm < 300; ++Warm)
      this->step(false, Duration::zero());
    Begin = this->In.Now;
    std::uint64_t Samples = 0;
    TimePoint NextTopUp = Begin + seconds(60);
    while (this->In.Now - Begin < RunTime) {
      Duration Passed = this->In.Now - Begin;
      this->step(true, Passed);
      if (this->In.Now < NextTopUp)
        continue;
      NextTopUp += seconds(60);
      for (std::size_t Team = 0; Team < TeamCount; ++Team)
        this->topUp(Team, this->At.TopUpSeconds);
      TokenCount Stranded = this->Under.Stranded();
      this->Found.StrandedPeak = std::max(this->Found.StrandedPeak, Stranded);
      this->Found.StrandedMean += static_cast<double>(Stranded);
      ++Samples;
    }
    this->Found.StrandedMean /= static_cast<double>(Samples);
    for (std::size_t Team = 0; Team < TeamCount; ++Team)
      this->Found.Unspendable += this->ToppedUp[Team] - this->Spent[Team];
    return std::move(this->Found);
  }

private:
  static constexpr std::size_t TeamCount = 10;

  double tokensPerSecond(std::size_t Team) const {
    double Share = this->Weights[Team] / this->WeightSum;
    return this->At.RequestsPerSecond * Share *
           static_cast<double>(this->At.MeanTokens);
  }

  void topUp(std::size_t Team, double Seconds) {
    auto Tokens =
        static_cast<TokenCount>(this->tokensPerSecond(Team) * Seconds);
    if (Tokens == 0)
      return;
    Tokens -= Tokens % static_cast<TokenCount>(this->In.hostCount());
    this->ToppedUp[Team] += Tokens;
    this->Under.TopUp(TeamId{Team + 1}, Tokens);
  }

  void step(bool HasLoad, Duration Passed) {
    this->In.Now += Tick;
    if (HasLoad) {
      this->setFaults(Passed);
      this->arrive();
    }
    this->tryWaiting();
    this->finish();
    this->Under.Tick();
  }

  void setFaults(Duration Passed) {
    bool IsOn = Passed >= FaultBegin && Passed < FaultEnd;
    this->In.Log.Faults.IsDown = IsOn && this->Having.HasOutage;
    this->In.Log.Faults.LoseAfterEffect =
        this->Having.HasLostAnswers ? LostAnswers / 2 : 0;
    this->In.Log.Faults.LoseBeforeEffect =
        this->Having.HasLostAnswers ? LostAnswers / 2 : 0;
    // One failure domain of three is cut off, at first without the outage.
    for (std::size_t Host = 0; Host < this->In.hostCount(); ++Host)
      this->In.IsCut[Host] = IsOn && this->Having.HasPartition && Host % 3 == 0;
    if (this->Having.HasDeaths)
      this->moveDeaths();
    if (this->Having.HasPauses)
      this->movePauses();
  }

  void moveDeaths() {
    if (this->Victim < this->In.hostCount() && this->In.Now >= this->Restart) {
      this->In.IsDead[this->Victim] = false;
      this->Under.Revive(this->Victim);
      this->Victim = this->In.hostCount();
    }
    if (this->In.Now < this->NextDeath)
      return;
    this->NextDeath = this->In.Now + DeathInterval;
    this->Victim = this->Dice.below(this->In.hostCount());
    this->Restart = this->In.Now + RestartTime;
    this->In.IsDead[this->Victim] = true;
    this->Under.Kill(this->Victim);
    this->retryElsewhere(this->Victim);
  }

  void retryElsewhere(std::size_t Dead) {
    for (auto &[Ends, Present] : this->Open) {
      if (Present.Host != Dead)
        continue;
      Running Retry = Present;
      ++Retry.Attempt;
      Retry.Arrived = this->In.Now + RetryAfterDeath;
      this->Reserved[Present.Team] -= this->At.WorstCase;
      this->Waiting.push_back(Retry);
    }
    std::erase_if(this->Open,
                  [&](const auto &Entry) { return Entry.second.Host == Dead; });
  }

  void movePauses() {
    if (this->In.Now >= this->PauseEnd)
      this->In.IsPaused.assign(this->In.hostCount(), false);
    if (this->In.Now < this->NextPause)
      return;
    this->NextPause = this->In.Now + PauseInterval;
    this->PauseEnd = this->In.Now + PauseTime;
    this->In.IsPaused[this->Dice.below(this->In.hostCount())] = true;
  }

  std::size_t pickHost() {
    for (;;) {
      std::size_t Host = this->Dice.below(this->In.hostCount());
      if (this->In.canWork(Host))
        return Host;
    }
  }

  void arrive() {
    std::chrono::duration<double> Step = Tick;
    double Mean = this->At.RequestsPerSecond * Step.count();
    this->Due += this->Dice.exponential(Mean);
    for (; this->Due >= 1; this->Due -= 1) {
      double Place = this->Dice.uniform() * this->WeightSum;
      Running Made;
      while (Made.Team + 1 < TeamCount && Place >= this->Weights[Made.Team])
        Place -= this->Weights[Made.Team++];
      Made.Request = this->Dice.next128();
      double Tokens =
          this->Dice.exponential(static_cast<double>(this->At.MeanTokens));
      Made.Tokens = std::clamp<TokenCount>(static_cast<TokenCount>(Tokens), 1,
                                           this->At.WorstCase);
      Made.Host = this->pickHost();
      Made.Arrived = this->In.Now;
      ++this->Found.Requests;
      this->Waiting.push_back(Made);
    }
  }

  void tryWaiting() {
    std::deque<Running> Left;
    for (auto &Asking : this->Waiting) {
      if (Asking.Arrived > this->In.Now) {
        Left.push_back(Asking);
        continue;
      }
      if (!this->In.canWork(Asking.Host))
        Asking.Host = this->pickHost();
      Reservation Made = this->Under.Reserve(
          Asking.Host, TeamId{Asking.Team + 1}, Asking.Request, Asking.Attempt,
          this->At.WorstCase);
      bool IsOver = this->In.Now - Asking.Arrived >= WaitLimit;
      if (Made.Outcome == Answer::Reserved)
        this->start(Asking, Made.Handle);
      else if (Made.Outcome == Answer::Wait && !IsOver)
        Left.push_back(Asking);
      else
        this->refuse(Asking);
    }
    this->Waiting = std::move(Left);
  }

  void start(Running Begun, std::uint64_t Handle) {
    std::chrono::duration<double, std::milli> Wait =
        this->In.Now - Begun.Arrived;
    this->Found.WaitMilliseconds.push_back(Wait.count());
    Begun.Handle = Handle;
    this->Reserved[Begun.Team] += this->At.WorstCase;
    // An engine gives about 50 tokens a second to one stream.
    Begun.Ends = this->In.Now + milliseconds(Begun.Tokens * 20);
    this->Open.emplace(Begun.Ends, Begun);
  }

  void refuse(const Running &Asking) {
    ++this->Found.Refusals;
    TokenCount Free = this->ToppedUp[Asking.Team] - this->Spent[Asking.Team] -
                      this->Reserved[Asking.Team];
    this->Found.FalseRefusals += Free >= this->At.WorstCase;
  }

  void finish() {
    while (!this->Open.empty() && this->Open.begin()->first <= this->In.Now) {
      Running Done = this->Open.begin()->second;
      this->Open.erase(this->Open.begin());
      if (!this->In.canWork(Done.Host)) {
        Done.Ends = this->In.Now + seconds(1);
        this->Open.emplace(Done.Ends, Done);
        continue;
      }
      this->Under.Settle(Done.Host, Done.Handle, Done.Tokens);
      this->Reserved[Done.Team] -= this->At.WorstCase;
      this->Spent[Done.Team] += Done.Tokens;
      this->Found.Overspend =
          std::max(this->Found.Overspend,
                   this->Spent[Done.Team] - this->ToppedUp[Done.Team]);
    }
  }

  World &In;
  Design &Under;
  const Site &At;
  const Faults &Having;
  Random Dice;
  Figures Found;
  std::vector<double> Weights;
  double WeightSum = 0;
  std::vector<TokenCount> ToppedUp;
  std::vector<TokenCount> Spent;
  std::vector<TokenCount> Reserved;
  std::multimap<TimePoint, Running> Open;
  std::deque<Running> Waiting;
  double Due = 0;
  std::size_t Victim = SIZE_MAX;
  TimePoint Restart{};
  TimePoint NextDeath{};
  TimePoint NextPause{};
  TimePoint PauseEnd{};
};

double percentile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  auto At =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + At, Values.end());
  return Values[At];
}

const std::vector<Site> Sites{
    {"fountain", 9, 40, 300, 1'500, 3'600, 60},
    {"mirandes", 6, 12, 900, 6'000, 3'600, 60},
    // Its budgets run out in the middle of the run.
    {"fountain-low", 9, 40, 300, 1'500, 900, 0},
};

const std::vector<Faults> AllFaults{
    {"none"},
    {"partition", true},
    {"log out 10 min", false, true},
    {"death every 30 s", false, false, true},
    {"pauses", false, false, false, true},
    {"lost answers 5%", false, false, false, false, true},
    {"all together", true, true, true, true, true},
};

struct Named {
  std::string Name;
  std::function<Design(World &, const Site &, std::uint64_t)> Make;
};

Design makeSlices(World &In, const Site &At, std::uint64_t Seed,
                  double Eagerness) {
  SlicePolicy Policy;
  Policy.FleetHosts = static_cast<std::uint32_t>(At.Hosts);
  Policy.Eagerness = Eagerness;
  return makeSliceDesign(In, Policy, Seed);
}

const std::vector<Named> Designs{
    {"slices 0.5",
     [](World &In, const Site &At, std::uint64_t Seed) {
       return makeSlices(In, At, Seed, 0.5);
     }},
    {"equal split", [](World &In, const Site &,
                       std::uint64_t) { return makeSplitDesign(In); }},
    {"append per request", [](World &In, const Site &,
                              std::uint64_t) { return makeAppendDesign(In); }},
};

const std::vector<Named> Weights{
    {"slices 0 (cautious)",
     [](World &In, const Site &At, std::uint64_t Seed) {
       return makeSlices(In, At, Seed, 0);
     }},
    {"slices 1 (eager)",
     [](World &In, const Site &At, std::uint64_t Seed) {
       return makeSlices(In, At, Seed, 1);
     }},
};

void runTrial(const Site &At, const Faults &Having, const Named &Way,
              std::uint64_t Seed, const RowSink &Sink) {
  World In(At.Hosts, Seed);
  Design Under = Way.Make(In, At, Seed);
  Figures Found = Trial(In, Under, At, Having, Seed).run();
  std::string Prefix = At.Name + " / " + Having.Name + " / ";
  auto Print = [&](const std::string &Metric, double Value,
                   const std::string &Unit) {
    Sink({"budgets", Way.Name, Prefix + Metric, Value, Unit, Seed});
  };
  std::chrono::duration<double> Time = RunTime;
  auto Requests = static_cast<double>(Found.Requests);
  Print("overspend", static_cast<double>(Found.Overspend), "tokens");
  Print("false refusals",
        100 * static_cast<double>(Found.FalseRefusals) / Requests, "%");
  Print("refusals", 100 * static_cast<double>(Found.Refusals) / Requests, "%");
  Print("reservation wait p50", percentile(Found.WaitMilliseconds, 0.5), "ms");
  Print("reservation wait p99", percentile(Found.WaitMilliseconds, 0.99), "ms");
  Print("appends", static_cast<double>(In.Log.Appends) / Time.count(), "1/s");
  Print("stranded mean", Found.StrandedMean, "tokens");
  Print("stranded peak", static_cast<double>(Found.StrandedPeak), "tokens");
  Print("left unspent", static_cast<double>(Found.Unspendable), "tokens");
  Print("violations", static_cast<double>(Under.Violations()), "");
}

void run(const ExperimentOptions &Options, const RowSink &Sink) {
  for (const auto &At : Sites)
    for (const auto &Having : AllFaults)
      for (const auto &Way : Designs)
        runTrial(At, Having, Way, Options.Seed, Sink);
  // The curve of the weights.
  for (const auto &Having : {AllFaults[2], AllFaults[6]})
    for (const auto &Way : Weights)
      runTrial(Sites[0], Having, Way, Options.Seed, Sink);
}

const ExperimentRegistration Registered{
    "budgets", "overspend, false refusals and waits of three designs", run};

} // namespace

} // namespace bergamothook::budgets
