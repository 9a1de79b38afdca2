/// \file
/// Caller API for orders and services.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_ORDERAPI_H
#define BERGAMOTHOOK_SERVICES_ROUTER_ORDERAPI_H

#include "LibApi/ChatRequest.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibHttp/HttpReply.h"
#include "LibObserve/Metrics.h"
#include "LibOutcome/OrderDispatcher.h"
#include "LibRouting/RetryBudget.h"
#include "TargetMonitor.h"

namespace bergamothook {

/// Components used by OrderApi. They must outlive it.
struct OrderApiDependencies {
  Runtime Tasks;
  ServiceHooks Services;
  Metrics &Stats;
  OrderDispatcher &Orders;
  RetryBudget &Retries;
  TargetMonitor &Monitor;
};

/// Handles orders and service calls on one host. Each call runs in the task of
/// its request.
class OrderApi {
public:
  explicit OrderApi(OrderApiDependencies Dependencies);

  /// POST /v1/orders
  void postOrder(const ConfigSnapshot &Config, const HttpRequest &Request,
                 HttpReply Reply);

  /// POST /v1/orders/tickets
  void postTicket(const ConfigSnapshot &Config, const HttpRequest &Request,
                  HttpReply Reply);

  /// GET /v1/orders/{key}
  void getOrder(const ConfigSnapshot &Config, const HttpRequest &Request,
                const std::string &Key, HttpReply Reply);

  /// Any method on /v1/services/{name}/...
  void callService(const ConfigSnapshot &Config, const HttpRequest &Request,
                   HttpReply Reply);

  /// \returns an order runner or service that serves \p Service and is not in
  /// \p Excluded; RoutingError::NoTargetLeft if there is none.
  static Result<OrderTarget>
  chooseTarget(const TargetMonitor &Monitor, const std::string &Service,
               RequestId Request, const std::vector<TargetId> &Excluded);

  std::size_t active() const { return this->Active; }

private:
  ApiResult<OrderRequest> makeOrder(const EffectiveTeam &Team,
                                    const HttpRequest &Request,
                                    const std::string &Service,
                                    const std::string &Path) const;
  void runOrder(const EffectiveTeam &Team, const OrderRequest &Order,
                HttpReply &Reply);
  void forwardRepeatable(const EffectiveTeam &Team, const HttpRequest &Request,
                         const std::string &Service, const std::string &Path,
                         HttpReply &Reply);
  void sendAnswer(const OrderAnswer &Answer, HttpReply &Reply);

  OrderApiDependencies Dependencies;
  std::size_t Active = 0;
};

} // namespace bergamothook

#endif
