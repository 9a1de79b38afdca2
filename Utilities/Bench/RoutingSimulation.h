/// \file
/// Runs one cell of the routing experiment in virtual time: hosts with their
/// own tables and queues before models of engines.

#ifndef BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGSIMULATION_H
#define BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGSIMULATION_H

#include "RoutingBaselines.h"
#include "RoutingCell.h"
#include "RoutingFigures.h"
#include "RoutingWorkload.h"

#include "LibRouting/Admission.h"
#include "LibRouting/OutlierDetector.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/TargetChooser.h"
#include "LibStandin/EngineModel.h"

#include <memory>
#include <optional>
#include <queue>

namespace bergamothook {

/// One way to route, as it is measured.
struct RoutingDesign {
  std::string Name;
  /// Set for a baseline, which sends each request at once.
  std::optional<Baseline> Known;
  bool UsesAdmission = true;
  bool UsesPrefixes = true;
  bool UsesOutliers = true;
  /// A request stays in the host's queue while the best target's estimated
  /// wait is longer than this.
  Duration MaxTargetQueue = std::chrono::milliseconds(300);
  /// The latest useful start of a quick answer after its arrival, which leaves
  /// time for the first token.
  Duration QuickStart = std::chrono::milliseconds(1200);
  ConcurrencyLimitSettings Concurrency;
  TargetTableSettings Table;
  ChooserSettings Chooser;
};

/// One run. It is made, run once and dropped.
class RoutingSimulation {
public:
  /// \p ArrivalsPerSecond is the offered load outside of a burst.
  RoutingSimulation(const RoutingCell &Cell, const RoutingDesign &Design,
                    double ArrivalsPerSecond, std::uint64_t Seed);

  RoutingFigures run();

private:
  enum class EventKind {
    Arrival,
    EngineStep,
    Reports,
    CacheEvents,
    GiveUp,
    Resend,
    LoseDomain,
    ReturnDomain,
    SlowDown,
  };

  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    EventKind Kind = EventKind::Arrival;
    std::uint64_t Subject = 0;

    bool operator>(const Event &Other) const {
      return this->At != Other.At ? this->At > Other.At
                                  : this->Order > Other.Order;
    }
  };

  struct Host {
    TargetTable Table;
    PrefixIndex Prefixes;
    OutlierDetector Outliers;
    TargetChooser Chooser;
    std::optional<BaselineChooser> Known;
    Admission Queue;
    RetryBudget Retries;

    Host(const RoutingDesign &Design, const RoutingSite &Site,
         std::uint64_t Seed);
  };

  enum class Stage { Waiting, Sent, Streaming, Done };

  struct Live {
    WorkloadRequest Work;
    std::uint64_t HostIndex = 0;
    TimePoint FirstArrived;
    TimePoint Arrived;
    Stage At = Stage::Waiting;
    std::uint32_t Attempt = 0;
    std::uint32_t Resends = 0;
    /// Whether it is sent again after its target failed.
    bool IsRetry = false;
    TicketId Ticket;
    TargetTable::Slot Place = 0;
    std::uint32_t PrefillTokens = 0;
    TimePoint SentAt;
    Duration Expected{};
    Duration Prefill{};
    TimePoint LastToken;
    std::uint32_t Generated = 0;
    std::vector<TargetId> Tried;
  };

  struct Target {
    EngineModel Engine;
    std::uint64_t Domain = 0;
    /// The time of the step event that is queued.
    TimePoint Scheduled;
    std::optional<TimePoint> DownSince;
  };

  void schedule(TimePoint At, EventKind Kind, std::uint64_t Subject);
  void handle(const Event &Next);
  void makeTargets(std::uint64_t Seed);
  void makeHosts(std::uint64_t Seed);
  void scheduleFaults();
  double arrivalRate() const;
  void arrive();
  void offer(std::uint64_t Number);
  void pump(std::uint64_t HostIndex);
  void answerRefused(std::uint64_t HostIndex);
  bool send(std::uint64_t Number, const std::optional<Choice> &Made);
  std::optional<Choice> choose(std::uint64_t Number);
  RequestFeatures featuresOf(const Live &Request) const;
  AdmissionRequest admissionOf(const Live &Request) const;
  void collect(std::uint64_t Index);
  void onTokens(Live &Request, const EngineModelEvent &Event);
  void onFinished(std::uint64_t Number, const EngineModelEvent &Event);
  void onCrashed(std::uint64_t Number);
  void leaveTarget(Live &Request);
  void endUnserved(std::uint64_t Number, Duration RetryAfter);
  void giveUp(std::uint64_t Number);
  void readReports();
  void readCacheEvents();
  void setDomainDown(bool IsDown);

  const RoutingCell &Cell;
  const RoutingDesign &Design;
  double ArrivalsPerSecond;
  RoutingWorkload Workload;
  Random Draws;
  TimePoint Start;
  TimePoint Now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Queue;
  std::uint64_t Events = 0;
  std::vector<Target> Targets;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Live> Requests;
  RoutingFigures Figures;
};

/// Measures the requests per second that a site finishes when more is offered
/// than it can take, routed by \p Design without its admission queue.
double measureCapacity(const RoutingSite &Site, RoutingDesign Design,
                       std::uint64_t Seed);

/// Searches the largest offered requests per second, from \p FirstRate up, at
/// which \p Design answers 99 of 100 quick requests in time.
double measureSustained(const RoutingSite &Site, const RoutingDesign &Design,
                        double FirstRate, std::uint64_t Seed);

} // namespace bergamothook

#endif
