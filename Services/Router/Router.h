/// \file
/// The components of one entry host and their wiring.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_ROUTER_H
#define BERGAMOTHOOK_SERVICES_ROUTER_ROUTER_H

#include "ChatHandler.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "LibTask/RealRuntime.h"
#include "OperatorApi.h"
#include "OrderApi.h"
#include "RouterSettings.h"
#include "SuspectService.h"

namespace bergamothook {

/// One entry host. The HTTP servers pass requests to the thread of the runtime,
/// where each one is handled in its own task.
class Router {
public:
  Router(RouterSettings Settings, KeyRing Keys, RealRuntime &Threads);

  /// Starts the tasks and the servers.
  Result<void> start();

  /// Stops gracefully: not ready first, then no new requests, then all in
  /// progress to their end, then slices back. Blocks the calling task.
  void stop();

  /// Makes stop() no longer wait for requests in progress.
  void forceStop() { this->IsStopForced = true; }

private:
  Incarnation makeIncarnation() const;
  PeerServiceSettings peerSettings() const;
  MembershipHooks mergedMemberList();
  BudgetManagerSettings budgetSettings() const;
  BudgetManagerHooks budgetHooks();
  OrderDispatcherHooks orderHooks();
  StreamSnapshotHooks orderSnapshots();
  ChatHandlerSettings chatSettings() const;
  HttpServerLimits limitsOf(const ListenSettings &Listen) const;
  HttpServer::Handler handlerFor(void (Router::*Handle)(const HttpRequest &,
                                                        HttpReply));
  void handleCaller(const HttpRequest &Request, HttpReply Reply);
  void handleOperator(const HttpRequest &Request, HttpReply Reply);
  void routeCaller(const ConfigSnapshot &Config, const HttpRequest &Request,
                   HttpReply &Reply);
  void sendReadiness(HttpReply &Reply) const;
  void sendMetrics(HttpReply &Reply);
  void reloadCertificates();
  void setPeerCallbacks();
  void startTasks();
  void recordEndedPredecessors();
  void warmBudgets(const ConfigSnapshot &Config);
  HostStatus status() const;
  std::string notReadyReason() const;
  std::size_t active() const;
  void drainRequests(TimePoint Deadline) const;

  RouterSettings Settings;
  RealRuntime &Threads;
  Runtime Tasks;
  Incarnation Self;
  std::uint64_t Seed;
  HttpClient Http;
  LogHooks Log;
  EngineHooks Engines;
  ServiceHooks Services;
  Metrics Stats;
  TargetTable Targets;
  PrefixIndex Prefixes;
  OutlierDetector Outliers;
  RetryBudget Retries;
  ExplanationRing Explanations;
  TargetChooser Chooser;
  PeerService Peers;
  TargetMonitor Monitor;
  BudgetManager Budgets;
  LogStreamClient OrderLog;
  OrderDispatcher Orders;
  SuspectService Suspects;
  AdmissionController Admissions;
  ChatHandler ChatCalls;
  OrderApi OrderCalls;
  OperatorApi OperatorCalls;
  HttpServer CallerServer;
  HttpServer OperatorServer;
  std::uint64_t ListVersion = 0;
  bool IsStopping = false;
  bool IsStopForced = false;
};

} // namespace bergamothook

#endif
