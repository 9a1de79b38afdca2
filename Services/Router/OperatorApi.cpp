#include "OperatorApi.h"

#include "HandlerHelpers.h"
#include "ProblemMapping.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bergamothook {

namespace {

using nlohmann::json;

constexpr Duration SettleTimeout = std::chrono::seconds(10);

/// \returns the part of \p Path after \p Prefix, or nothing if \p Path does not
/// start with it.
std::optional<std::string> stripPrefix(const std::string &Path,
                                       const std::string &Prefix) {
  if (Path.compare(0, Prefix.size(), Prefix) != 0)
    return std::nullopt;
  return Path.substr(Prefix.size());
}

json toJson(const Incarnation &Process) {
  return {{"host", toHex(Process.Host.Value)}, {"run", Process.Run}};
}

json toJson(const SliceView &Slice) {
  return {{"holder", toJson(Slice.Holder)},
          {"outstanding", Slice.Outstanding},
          {"unwitnessed_cap", Slice.UnwitnessedCap},
          {"demand", Slice.Demand},
          {"is_ended", Slice.IsEnded}};
}

double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

json toJson(const Candidate &ScoredTarget, const TargetMonitor &Monitor) {
  const Member *Target = Monitor.find(ScoredTarget.Target);
  return {{"target", Target ? Target->Name : toHex(ScoredTarget.Target.Value)},
          {"queue_ms", toMilliseconds(ScoredTarget.Queue)},
          {"prefill_ms", toMilliseconds(ScoredTarget.Prefill)},
          {"decode_ms", toMilliseconds(ScoredTarget.Decode)},
          {"score_ms", toMilliseconds(ScoredTarget.Score)},
          {"covered_tokens", ScoredTarget.CoveredTokens},
          {"is_ejected", ScoredTarget.IsEjected}};
}

json toJson(const Explanation &Entry, const TargetMonitor &Monitor) {
  const Member *Target = Monitor.find(Entry.Decision.Target);
  json Body{
      {"attempt", Entry.Attempt.Value},
      {"target", Target ? Target->Name : toHex(Entry.Decision.Target.Value)},
      {"reason", nameOf(Entry.Decision.Reason)},
      {"candidates", json::array()}};
  for (const Candidate &ScoredTarget : Entry.Decision.Candidates)
    Body["candidates"].push_back(toJson(ScoredTarget, Monitor));
  return Body;
}

std::optional<RequestId> parseHash128(const std::string &Text) {
  if (Text.size() != 32 ||
      Text.find_first_not_of("0123456789abcdef") != std::string::npos)
    return std::nullopt;
  return RequestId{std::strtoull(Text.substr(0, 16).c_str(), nullptr, 16),
                   std::strtoull(Text.substr(16).c_str(), nullptr, 16)};
}

/// \returns the order identified by the query parameters: by request, or by
/// team and key.
std::optional<RequestId> orderIdOf(const HttpRequest &Request) {
  std::string Hex = Request.parameter("request");
  if (!Hex.empty())
    return parseHash128(Hex);
  std::string Key = Request.parameter("key");
  std::string Team = Request.parameter("team");
  if (Key.empty() || Team.empty())
    return std::nullopt;
  return requestIdOf(idOfName<TeamId>(Team), Key);
}

json toJson(const OrderEntry &Order) {
  return {{"state", nameOf(Order.State)},
          {"claimant", toJson(Order.Claimant)},
          {"has_claimant_ended", Order.HasClaimantEnded},
          {"target", toHex(Order.Target.Value)},
          {"offset", Order.Position.At.Value},
          {"claimed_at_ms", Order.ClaimedAt},
          {"is_ticketed", Order.IsTicketed},
          {"status", Order.Status},
          {"operator", Order.Operator},
          {"note", Order.Note}};
}

void sendFailure(HttpReply &Reply, ApiFailure Failure,
                 std::string Detail = "") {
  sendProblem(Reply, {Failure, std::move(Detail), std::nullopt});
}

} // namespace

OperatorApi::OperatorApi(OperatorApiDependencies Dependencies)
    : Dependencies(std::move(Dependencies)) {}

void OperatorApi::handle(const ConfigSnapshot &Config,
                         const HttpRequest &Request, HttpReply Reply) {
  const EffectiveOperator *Operator =
      Config.operatorOfToken(bearerTokenOf(Request));
  if (!Operator)
    return sendFailure(Reply, ApiFailure::Unauthenticated);
  if (!Operator->hasRole(OperatorRole::Read))
    return sendFailure(Reply, ApiFailure::NotAllowed);
  if (Request.Path == "/admin/status")
    return this->showStatus(Config, Reply);
  if (auto Account = stripPrefix(Request.Path, "/admin/budgets/"))
    return this->showBudget(*Account, Reply);
  if (Request.Path == "/admin/orders")
    return this->showOrder(Request, Reply);
  if (Request.Path == "/admin/orders/settle" && Request.Method == "POST")
    return this->settleOrder(*Operator, Request, Reply);
  if (Request.Path == "/admin/suspects")
    return this->listSuspects(Reply);
  auto Content = stripPrefix(Request.Path, "/admin/suspects/");
  if (Content && Request.Method == "DELETE")
    return this->liftSuspect(*Operator, *Content, Reply);
  if (auto Id = stripPrefix(Request.Path, "/admin/explain/"))
    return this->explain(*Id, Reply);
  sendFailure(Reply, ApiFailure::UnknownRoute);
}

void OperatorApi::showStatus(const ConfigSnapshot &Config,
                             HttpReply &Reply) const {
  HostStatus Status = this->Dependencies.Status();
  StreamAppenderHealth Health = this->Dependencies.Budgets.health();
  sendJson(Reply, 200,
           {{"host", Status.Name},
            {"run", Status.Self.Run},
            {"is_ready", Status.IsReady},
            {"is_stopping", Status.IsStopping},
            {"waiting_for", Status.WaitingFor},
            {"active_requests", Status.Active},
            {"revision", Config.revision().Value},
            {"log_appends", Health.Appends},
            {"log_failures_in_a_row", Health.ConsecutiveFailures},
            {"records_waiting", Health.Queued},
            {"leaving_targets", this->Dependencies.Monitor.leaving()}});
}

void OperatorApi::showBudget(const std::string &Account,
                             HttpReply &Reply) const {
  TeamId Team = idOfName<TeamId>(Account);
  auto View = this->Dependencies.Budgets.foldOf(Team).view(Team);
  if (!View)
    return sendFailure(Reply, ApiFailure::UnknownRoute, View.error().message());
  const BudgetView &Budget = View.value();
  LocalSliceView Local = this->Dependencies.Budgets.localSlice(Team);
  json Body{{"account", Account},
            {"topped_up", Budget.ToppedUp},
            {"settled", Budget.Settled},
            {"outstanding", Budget.Outstanding},
            {"stranded", Budget.Stranded},
            {"unallocated", Budget.Unallocated},
            {"is_closed", Budget.IsClosed},
            {"offset", Budget.Position.At.Value},
            {"slices", json::array()},
            {"here",
             {{"available", Local.Available},
              {"reserved", Local.Reserved},
              {"settling", Local.Settling},
              {"tokens_per_second", Local.Rate}}}};
  for (const SliceView &Slice : Budget.Slices)
    Body["slices"].push_back(toJson(Slice));
  sendJson(Reply, 200, Body);
}

void OperatorApi::showOrder(const HttpRequest &Request,
                            HttpReply &Reply) const {
  auto Id = orderIdOf(Request);
  if (!Id)
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "name the order by request, or by team and key");
  const OrderEntry *Order = this->Dependencies.Orders.state().find(*Id);
  if (!Order)
    return sendFailure(Reply, ApiFailure::UnknownOrder);
  json Body = toJson(*Order);
  Body["request"] = toHex(*Id);
  sendJson(Reply, 200, Body);
}

void OperatorApi::settleOrder(const EffectiveOperator &Operator,
                              const HttpRequest &Request, HttpReply &Reply) {
  if (!Operator.hasRole(OperatorRole::Settle))
    return sendFailure(Reply, ApiFailure::NotAllowed);
  auto Id = orderIdOf(Request);
  std::string HasRun = Request.parameter("has_run");
  if (!Id || (HasRun != "true" && HasRun != "false"))
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "name the order, and has_run as true or false");
  OrderSettled Settlement{*Id, HasRun == "true", Operator.Name,
                          Request.parameter("note")};
  auto Settled = this->Dependencies.Orders.settle(
      Settlement, this->Dependencies.Tasks.Now() + SettleTimeout);
  if (!Settled)
    return sendFailure(Reply, ApiFailure::LogUnavailable,
                       Settled.error().message());
  this->showOrder(Request, Reply);
}

void OperatorApi::listSuspects(HttpReply &Reply) const {
  json Body = json::array();
  for (const SuspectSummary &Summary :
       this->Dependencies.Suspects.list(this->Dependencies.Tasks.Now()))
    Body.push_back({{"content", toHex(Summary.Content)},
                    {"crashes", Summary.Crashes},
                    {"crashes_here", Summary.CrashesHere},
                    {"is_quarantined", Summary.IsQuarantined}});
  sendJson(Reply, 200, Body);
}

void OperatorApi::liftSuspect(const EffectiveOperator &Operator,
                              const std::string &ContentHex, HttpReply &Reply) {
  auto Content = parseHash128(ContentHex);
  if (!Operator.hasRole(OperatorRole::Settle))
    return sendFailure(Reply, ApiFailure::NotAllowed);
  if (!Content)
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "a content is named by 32 hexadecimal digits");
  auto Lifted = this->Dependencies.Suspects.lift(*Content);
  if (!Lifted)
    return sendFailure(Reply, ApiFailure::LogUnavailable,
                       Lifted.error().message());
  sendJson(Reply, 200, {{"lifted", ContentHex}});
}

void OperatorApi::explain(const std::string &RequestHex,
                          HttpReply &Reply) const {
  auto Id = parseHash128(RequestHex);
  if (!Id)
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "a request is named by 32 hexadecimal digits");
  json Body{{"request", RequestHex}, {"choices", json::array()}};
  for (const Explanation &Entry : this->Dependencies.Explanations.find(*Id))
    Body["choices"].push_back(toJson(Entry, this->Dependencies.Monitor));
  sendJson(Reply, 200, Body);
}

} // namespace bergamothook
