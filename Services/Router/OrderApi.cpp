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
  std::string Remainder = Path.substr(ServicePrefix.size());
  std::size_t Slash = Remainder.find('/');
  if (Slash == std::string::npos)
    return {Remainder, "/"};
  return {Remainder.substr(0, Slash), Remainder.substr(Slash)};
}

} // namespace

OrderApi::OrderApi(OrderApiDependencies Dependencies)
    : Dependencies(std::move(Dependencies)) {}

Result<OrderTarget>
OrderApi::chooseTarget(const TargetMonitor &Monitor, const std::string &Service,
                       RequestId Request,
                       const std::vector<TargetId> &Excluded) {
  std::vector<TargetId> Candidates;
  for (MemberRole Role : {MemberRole::OrderRunner, MemberRole::Service})
    for (TargetId Target : Monitor.serving(Role, Service))
      if (std::ranges::find(Excluded, Target) == Excluded.end())
        Candidates.push_back(Target);
  if (Candidates.empty())
    return RoutingError::NoTargetLeft;
  // Selecting by the request hash spreads the load without keeping state.
  TargetId Selected = Candidates[Request.Low % Candidates.size()];
  return OrderTarget{Selected, Monitor.addressOf(Selected)};
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
  Order.Deadline = this->Dependencies.Tasks.Now() +
                   Team.classSettings(WorkClass::Order).Deadline;
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
  OrderAnswer Answer = this->Dependencies.Orders.run(Order);
  --this->Active;
  this->Dependencies.Stats.count(std::string("orders_total{outcome=\"") +
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
  Reply.sendResponse(Answer.Answer.Status, Answer.Answer.ContentType,
                     Answer.Answer.Body, Headers);
}

void OrderApi::postTicket(const ConfigSnapshot &Config,
                          const HttpRequest &Request, HttpReply Reply) {
  const EffectiveTeam *Team = teamOf(Config, Request);
  if (!Team)
    return sendProblem(Reply, problem(ApiFailure::Unauthenticated));
  auto Ticket = this->Dependencies.Orders.issueTicket(Team->Team);
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
  const OrderEntry *Entry = this->Dependencies.Orders.state().find(Id);
  if (!Entry)
    return sendProblem(Reply, problem(ApiFailure::UnknownOrder));
  nlohmann::json Body{{"key", Key},
                      {"state", nameOf(Entry->State)},
                      {"claimant_host", toHex(Entry->Claimant.Host.Value)},
                      {"offset", Entry->Position.At.Value}};
  if (Entry->State == OrderState::Done)
    Body["answer"] = {{"status", Entry->Status},
                      {"content_type", Entry->ContentType},
                      {"body", Entry->Body},
                      {"is_whole", Entry->IsResultWhole}};
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
  TimePoint Deadline = this->Dependencies.Tasks.Now() +
                       Team.classSettings(WorkClass::QuickAnswer).Deadline;
  std::vector<TargetId> ExcludedTargets;
  std::error_code Failure = RoutingError::NoTargetLeft;
  Outcome Verdict = Outcome::NotRun;
  this->Dependencies.Retries.firstAttempt();
  ++this->Active;
  for (std::uint32_t Attempt = 1; Attempt <= MaxServiceAttempts; ++Attempt) {
    if (Attempt > 1 && !this->Dependencies.Retries.tryRetry())
      break;
    auto Target = chooseTarget(this->Dependencies.Monitor, Service,
                               Call.Request, ExcludedTargets);
    if (!Target)
      break;
    Call.Attempt = AttemptNumber{Attempt};
    auto Response = this->Dependencies.Services.Call(Target.value().Address,
                                                     Call, Deadline);
    if (Response) {
      --this->Active;
      Reply.sendResponse(Response.value().Status, Response.value().ContentType,
                         Response.value().Body);
      return;
    }
    Failure = Response.error();
    if (!provesNotRun(Failure))
      Verdict = Outcome::Unknown;
    ExcludedTargets.push_back(Target.value().Id);
  }
  --this->Active;
  sendProblem(Reply, problemOf(Verdict, Failure, std::chrono::seconds(1)));
}

} // namespace bergamothook
