#include "OrderApi.h"

#include "LibRouting/RoutingError.h"

#include "HandlerHelpers.h"
#include "LibObserve/StructuredLog.h"
#include "ProblemMapping.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

const std::string DefaultOrderService = "orders";
const std::string ServicePrefix = "/v1/services/";
constexpr std::uint32_t MaxServiceAttempts = 3;

ApiProblem problem(ApiFailure Failure, std::string Detail = "") {
  return {Failure, std::move(Detail), std::nullopt};
}

std::uint32_t callerAttemptOf(const HttpRequest &Request) {
  return static_cast<std::uint32_t>(
      std::strtoul(Request.header("x-attempt").c_str(), nullptr, 10));
}

/// Splits "/v1/services/NAME/rest" into the name and "/rest".
std::pair<std::string, std::string> splitServicePath(const std::string &Path) {
  std::string Rest = Path.substr(ServicePrefix.size());
  std::size_t Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return {Rest, "/"};
  return {Rest.substr(0, Slash), Rest.substr(Slash)};
}

} // namespace

OrderApi::OrderApi(OrderApiDependencies Parts) : Parts(std::move(Parts)) {}

Result<OrderTarget>
OrderApi::chooseTarget(const TargetMonitor &Watch, const std::string &Service,
                       RequestId Request,
                       const std::vector<TargetId> &Excluded) {
  std::vector<TargetId> Usable;
  for (MemberRole Role : {MemberRole::OrderRunner, MemberRole::Service})
    for (TargetId Target : Watch.serving(Role, Service))
      if (std::ranges::find(Excluded, Target) == Excluded.end())
        Usable.push_back(Target);
  if (Usable.empty())
    return RoutingError::NoTargetLeft;
  // The request's own hash spreads the load without any state.
  TargetId Chosen = Usable[Request.Low % Usable.size()];
  return OrderTarget{Chosen, Watch.addressOf(Chosen)};
}

ApiResult<OrderRequest> OrderApi::makeOrder(const EffectiveTeam &Team,
                                            const HttpRequest &Request,
                                            const std::string &Service,
                                            const std::string &Path) const {
  if (!Team.allowsService(Service))
    return problem(ApiFailure::NotAllowed,
                   "the team may not use the service " + Service);
  OrderRequest Order;
  Order.Team = Team.Team;
  Order.Key = Request.header("idempotency-key");
  if (Order.Key.empty())
    return problem(ApiFailure::MissingIdempotencyKey);
  Order.Service = Service;
  Order.Method = Request.Method;
  Order.Path = Path;
  Order.Body = Request.Body;
  Order.ContentType = Request.header("content-type");
  Order.CallerAttempt = callerAttemptOf(Request);
  Order.Deadline =
      this->Parts.Tasks.Now() + Team.classSettings(WorkClass::Order).Deadline;
  return Order;
}

void OrderApi::postOrder(const ConfigSnapshot &Config,
                         const HttpRequest &Request, HttpReply Reply) {
  const EffectiveTeam *Team = teamOf(Config, Request);
  if (!Team)
    return sendProblem(Reply, problem(ApiFailure::Unauthenticated));
  std::string Service = Request.parameter("service");
  if (Service.empty())
    Service = DefaultOrderService;
  auto Order = this->makeOrder(*Team, Request, Service, "/orders");
  if (!Order)
    return sendProblem(Reply, Order.error());
  this->runOrder(*Team, Order.value(), Reply);
}

void OrderApi::runOrder(const EffectiveTeam &Team, const OrderRequest &Order,
                        HttpReply &Reply) {
  ++this->Active;
  OrderAnswer Answer = this->Parts.Orders.run(Order);
  --this->Active;
  this->Parts.Measured.count(std::string("orders_total{outcome=\"") +
                             nameOf(Answer.Verdict) + "\"}");
  logEvent(LogLevel::Info, "order_ended",
           {{"request", toHex(requestIdOf(Order.Team, Order.Key))},
            {"team", Team.Name},
            {"outcome", nameOf(Answer.Verdict)},
            {"recorded", Answer.IsRecorded},
            {"reason", Answer.Reason ? Answer.Reason.message() : ""}});
  this->sendAnswer(Answer, Reply);
}

void OrderApi::sendAnswer(const OrderAnswer &Answer, HttpReply &Reply) {
  if (Answer.Verdict != Outcome::Done || Answer.Answer.Status == 0)
    return sendProblem(
        Reply, problemOf(Answer.Verdict, Answer.Reason, Answer.RetryAfter));
  HttpHeaders Headers;
  Headers["x-outcome"] = "done";
  Headers["x-recorded"] = Answer.IsRecorded ? "true" : "false";
  Reply.sendWhole(Answer.Answer.Status, Answer.Answer.ContentType,
                  Answer.Answer.Body, Headers);
}

void OrderApi::postTicket(const ConfigSnapshot &Config,
                          const HttpRequest &Request, HttpReply Reply) {
  const EffectiveTeam *Team = teamOf(Config, Request);
  if (!Team)
    return sendProblem(Reply, problem(ApiFailure::Unauthenticated));
  auto Ticket = this->Parts.Orders.issueTicket(Team->Team);
  if (!Ticket)
    return sendProblem(Reply, problemOf(Outcome::NotRun, Ticket.error(),
                                        std::chrono::seconds(1)));
  sendJson(Reply, 201, {{"ticket", Ticket.value()}});
}

void OrderApi::getOrder(const ConfigSnapshot &Config,
                        const HttpRequest &Request, const std::string &Key,
                        HttpReply Reply) {
  const EffectiveTeam *Team = teamOf(Config, Request);
  if (!Team)
    return sendProblem(Reply, problem(ApiFailure::Unauthenticated));
  RequestId Id = requestIdOf(Team->Team, Key);
  const OrderEntry *Known = this->Parts.Orders.state().find(Id);
  if (!Known)
    return sendProblem(Reply, problem(ApiFailure::UnknownOrder));
  nlohmann::json Body{{"key", Key},
                      {"state", nameOf(Known->State)},
                      {"claimant_host", toHex(Known->Claimant.Host.Value)},
                      {"offset", Known->Position.At.Value}};
  if (Known->State == OrderState::Done)
    Body["answer"] = {{"status", Known->Status},
                      {"content_type", Known->ContentType},
                      {"body", Known->Body},
                      {"is_whole", Known->IsResultWhole}};
  sendJson(Reply, 200, Body);
}

void OrderApi::callService(const ConfigSnapshot &Config,
                           const HttpRequest &Request, HttpReply Reply) {
  const EffectiveTeam *Team = teamOf(Config, Request);
  if (!Team)
    return sendProblem(Reply, problem(ApiFailure::Unauthenticated));
  auto [Service, Path] = splitServicePath(Request.Path);
  const EffectiveService *Rules = Config.service(Service);
  if (!Rules)
    return sendProblem(Reply, problem(ApiFailure::UnknownService));
  if (!Team->allowsService(Service))
    return sendProblem(Reply, problem(ApiFailure::NotAllowed));
  if (Rules->isRepeatable(Request.Method, Path))
    return this->forwardRepeatable(*Team, Request, Service, Path, Reply);
  auto Order = this->makeOrder(*Team, Request, Service, Path);
  if (!Order)
    return sendProblem(Reply, Order.error());
  this->runOrder(*Team, Order.value(), Reply);
}

void OrderApi::forwardRepeatable(const EffectiveTeam &Team,
                                 const HttpRequest &Request,
                                 const std::string &Service,
                                 const std::string &Path, HttpReply &Reply) {
  ServiceCall Call;
  Call.Request = hash128(Request.Body, Team.Team.Value);
  Call.Method = Request.Method;
  Call.Path = Request.Query.empty() ? Path : Path + "?" + Request.Query;
  Call.Body = Request.Body;
  Call.ContentType = Request.header("content-type");
  TimePoint Deadline = this->Parts.Tasks.Now() +
                       Team.classSettings(WorkClass::QuickAnswer).Deadline;
  std::vector<TargetId> Tried;
  std::error_code Failure = RoutingError::NoTargetLeft;
  Outcome Verdict = Outcome::NotRun;
  this->Parts.Retries.firstAttempt();
  ++this->Active;
  for (std::uint32_t Number = 1; Number <= MaxServiceAttempts; ++Number) {
    if (Number > 1 && !this->Parts.Retries.tryRetry())
      break;
    auto Target = chooseTarget(this->Parts.Watch, Service, Call.Request, Tried);
    if (!Target)
      break;
    Call.Attempt = AttemptNumber{Number};
    auto Answer =
        this->Parts.Services.Call(Target.value().Address, Call, Deadline);
    if (Answer) {
      --this->Active;
      Reply.sendWhole(Answer.value().Status, Answer.value().ContentType,
                      Answer.value().Body);
      return;
    }
    Failure = Answer.error();
    if (!provesNotRun(Failure))
      Verdict = Outcome::Unknown;
    Tried.push_back(Target.value().Id);
  }
  --this->Active;
  sendProblem(Reply, problemOf(Verdict, Failure, std::chrono::seconds(1)));
}

} // namespace bergamothook
