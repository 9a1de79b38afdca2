/// \file
/// Puts the parts of one entry host together.

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

/// One entry host. Servers hand requests to the thread of the runtime, where
/// one task answers each.
class Router {
public:
  Router(RouterSettings Settings, KeyRing Keys, RealRuntime &Threads);

  /// Starts the tasks and the servers.
  Result<void> start();

  /// Stops gracefully: not ready first, then no new requests, then all in
  /// progress to their end, then slices back. Blocks the calling task.
  void stop();

  /// Cuts off what stop() still waits for.
  void hurry() { this->IsHurried = true; }

private:
  Incarnation makeSelf() const;
  PeerServiceSettings peerSettings() const;
  MembershipHooks joinedList();
  BudgetManagerSettings budgetSettings() const;
  BudgetManagerHooks budgetHooks();
  OrderDispatcherHooks orderHooks();
  StreamSnapshotHooks orderSnapshots();
  ChatHandlerSettings chatSettings() const;
  HttpServerLimits limitsOf(const ListenSettings &Listen) const;
  HttpServer::Handler handlerFor(void (Router::*Answer)(const HttpRequest &,
                                                        HttpReply));
  void answerCaller(const HttpRequest &Request, HttpReply Reply);
  void answerOperator(const HttpRequest &Request, HttpReply Reply);
  void routeCaller(const ConfigSnapshot &Config, const HttpRequest &Request,
                   HttpReply &Reply);
  void sendReadiness(HttpReply &Reply) const;
  void sendMetrics(HttpReply &Reply);
  void reloadCertificates();
  void bindPeers();
  void startTasks();
  void endPredecessors();
  void warmBudgets(const ConfigSnapshot &Config);
  HostStatus status() const;
  std::string notReadyReason() const;
  std::size_t active() const;
  void waitForRequests(TimePoint Deadline) const;

  RouterSettings Settings;
  RealRuntime &Threads;
  Runtime Tasks;
  Incarnation Self;
  std::uint64_t Seed;
  HttpClient Http;
  LogHooks Log;
  EngineHooks Engines;
  ServiceHooks Services;
  Metrics Measured;
  TargetTable Targets;
  PrefixIndex Prefixes;
  OutlierDetector Outliers;
  RetryBudget Retries;
  ExplanationRing Explanations;
  TargetChooser Chooser;
  PeerService Peers;
  TargetMonitor Watch;
  BudgetManager Budgets;
  LogStreamClient OrderLink;
  OrderDispatcher Orders;
  SuspectService Suspects;
  AdmissionController Admissions;
  ChatHandler Chats;
  OrderApi OrderCalls;
  OperatorApi OperatorCalls;
  HttpServer CallerServer;
  HttpServer OperatorServer;
  std::uint64_t ListReads = 0;
  bool IsStopping = false;
  bool IsHurried = false;
};

} // namespace bergamothook

#endif
