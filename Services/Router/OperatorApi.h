/// \file
/// The operators' interface of one host. Everything but health and metrics
/// needs an operator's token with the role that the call asks for.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_OPERATORAPI_H
#define BERGAMOTHOOK_SERVICES_ROUTER_OPERATORAPI_H

#include "BudgetDesk.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibHttp/HttpReply.h"
#include "LibObserve/Metrics.h"
#include "LibOutcome/OrderDispatcher.h"
#include "LibRouting/ExplanationRing.h"
#include "SuspectDesk.h"
#include "TargetWatch.h"

namespace bergamothook {

/// What the host tells of itself.
struct HostStatus {
  std::string Name;
  Incarnation Self;
  bool IsReady = false;
  bool IsStopping = false;
  std::size_t Active = 0;
  /// Why the host is not ready; empty when it is.
  std::string Waiting;
};

struct OperatorApiParts {
  Runtime Tasks;
  Metrics &Measured;
  BudgetDesk &Budgets;
  OrderDispatcher &Orders;
  TargetWatch &Watch;
  ExplanationRing &Explanations;
  SuspectDesk &Suspects;
  std::function<HostStatus()> Status;
};

class OperatorApi {
public:
  explicit OperatorApi(OperatorApiParts Parts);

  void answer(const ConfigSnapshot &Config, const HttpRequest &Request,
              HttpReply Reply);

private:
  void showStatus(const ConfigSnapshot &Config, HttpReply &Reply) const;
  void showBudget(const std::string &Account, HttpReply &Reply) const;
  void showOrder(const HttpRequest &Request, HttpReply &Reply) const;
  void explain(const std::string &RequestHex, HttpReply &Reply) const;
  void listSuspects(HttpReply &Reply) const;
  void liftSuspect(const EffectiveOperator &By, const std::string &ContentHex,
                   HttpReply &Reply);
  void settleOrder(const EffectiveOperator &By, const HttpRequest &Request,
                   HttpReply &Reply);

  OperatorApiParts Parts;
};

} // namespace bergamothook

#endif
