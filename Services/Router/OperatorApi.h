/// \file
/// Operator API of one host. Every call requires an operator's token with the
/// role for that call; health and metrics are served elsewhere without one.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_OPERATORAPI_H
#define BERGAMOTHOOK_SERVICES_ROUTER_OPERATORAPI_H

#include "BudgetManager.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibHttp/HttpReply.h"
#include "LibObserve/Metrics.h"
#include "LibOutcome/OrderDispatcher.h"
#include "LibRouting/ExplanationRing.h"
#include "SuspectService.h"
#include "TargetMonitor.h"

namespace bergamothook {

/// Status of the host for operators.
struct HostStatus {
  std::string Name;
  Incarnation Self;
  bool IsReady = false;
  bool IsStopping = false;
  std::size_t Active = 0;
  /// Why the host is not ready; empty when it is.
  std::string WaitingFor;
};

struct OperatorApiDependencies {
  Runtime Tasks;
  Metrics &Stats;
  BudgetManager &Budgets;
  OrderDispatcher &Orders;
  TargetMonitor &Monitor;
  ExplanationRing &Explanations;
  SuspectService &Suspects;
  std::function<HostStatus()> Status;
};

class OperatorApi {
public:
  explicit OperatorApi(OperatorApiDependencies Dependencies);

  void handle(const ConfigSnapshot &Config, const HttpRequest &Request,
              HttpReply Reply);

private:
  void showStatus(const ConfigSnapshot &Config, HttpReply &Reply) const;
  void showBudget(const std::string &Account, HttpReply &Reply) const;
  void showOrder(const HttpRequest &Request, HttpReply &Reply) const;
  void explain(const std::string &RequestHex, HttpReply &Reply) const;
  void listSuspects(HttpReply &Reply) const;
  void liftSuspect(const EffectiveOperator &Operator,
                   const std::string &ContentHex, HttpReply &Reply);
  void settleOrder(const EffectiveOperator &Operator,
                   const HttpRequest &Request, HttpReply &Reply);

  OperatorApiDependencies Dependencies;
};

} // namespace bergamothook

#endif
