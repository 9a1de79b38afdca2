#include "OperatorApi.h"

#include "Answering.h"
#include "StreamProblem.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bergamothook {

namespace {

using nlohmann::json;

constexpr Duration SettleTimeout = std::chrono::seconds(10);

/// What follows \p Prefix in \p Path, or nothing when it does not start so.
std::optional<std::string> pathAfter(const std::string &Path,
                                     const std::string &Prefix) {
  if (Path.compare(0, Prefix.size(), Prefix) != 0)
    return std::nullopt;
  return Path.substr(Prefix.size());
}

json toJson(const Incarnation &Of) {
  return {{"host", toHex(Of.Host.Value)}, {"run", Of.Run}};
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

json toJson(const Candidate &Scored, const TargetWatch &Watch) {
  const Member *Known = Watch.find(Scored.Target);
  return {{"target", Known ? Known->Name : toHex(Scored.Target.Value)},
          {"queue_ms", toMilliseconds(Scored.Queue)},
          {"prefill_ms", toMilliseconds(Scored.Prefill)},
          {"decode_ms", toMilliseconds(Scored.Decode)},
          {"score_ms", toMilliseconds(Scored.Score)},
          {"covered_tokens", Scored.CoveredTokens},
          {"is_ejected", Scored.IsEjected}};
}

json toJson(const Explanation &Noted, const TargetWatch &Watch) {
  const Member *Known = Watch.find(Noted.Decision.Target);
  json Body{
      {"attempt", Noted.Attempt.Value},
      {"target", Known ? Known->Name : toHex(Noted.Decision.Target.Value)},
      {"reason", nameOf(Noted.Decision.Reason)},
      {"candidates", json::array()}};
  for (const Candidate &Scored : Noted.Decision.Candidates)
    Body["candidates"].push_back(toJson(Scored, Watch));
  return Body;
}

std::optional<RequestId> requestIdOfHex(const std::string &Text) {
  if (Text.size() != 32 ||
      Text.find_first_not_of("0123456789abcdef") != std::string::npos)
    return std::nullopt;
  return RequestId{std::strtoull(Text.substr(0, 16).c_str(), nullptr, 16),
                   std::strtoull(Text.substr(16).c_str(), nullptr, 16)};
}

/// The order that the query names by its identifier, or by team and key.
std::optional<RequestId> orderIdOf(const HttpRequest &Request) {
  std::string Hex = Request.parameter("request");
  if (!Hex.empty())
    return requestIdOfHex(Hex);
  std::string Key = Request.parameter("key");
  std::string Team = Request.parameter("team");
  if (Key.empty() || Team.empty())
    return std::nullopt;
  return requestIdOf(idOfName<TeamId>(Team), Key);
}

json toJson(const OrderEntry &Known) {
  return {{"state", nameOf(Known.State)},
          {"claimant", toJson(Known.Claimant)},
          {"has_claimant_ended", Known.HasClaimantEnded},
          {"target", toHex(Known.Target.Value)},
          {"offset", Known.Position.At.Value},
          {"claimed_at_ms", Known.ClaimedAt},
          {"is_ticketed", Known.IsTicketed},
          {"status", Known.Status},
          {"operator", Known.Operator},
          {"note", Known.Note}};
}

void sendFailure(HttpReply &Reply, ApiFailure Failure,
                 std::string Detail = "") {
  sendProblem(Reply, {Failure, std::move(Detail), std::nullopt});
}

} // namespace

OperatorApi::OperatorApi(OperatorApiParts Parts) : Parts(std::move(Parts)) {}

void OperatorApi::answer(const ConfigSnapshot &Config,
                         const HttpRequest &Request, HttpReply Reply) {
  const EffectiveOperator *By = Config.operatorOfToken(bearerTokenOf(Request));
  if (!By)
    return sendFailure(Reply, ApiFailure::Unauthenticated);
  if (!By->hasRole(OperatorRole::Read))
    return sendFailure(Reply, ApiFailure::NotAllowed);
  if (Request.Path == "/admin/status")
    return this->showStatus(Config, Reply);
  if (auto Account = pathAfter(Request.Path, "/admin/budgets/"))
    return this->showBudget(*Account, Reply);
  if (Request.Path == "/admin/orders")
    return this->showOrder(Request, Reply);
  if (Request.Path == "/admin/orders/settle" && Request.Method == "POST")
    return this->settleOrder(*By, Request, Reply);
  if (Request.Path == "/admin/suspects")
    return this->listSuspects(Reply);
  auto Content = pathAfter(Request.Path, "/admin/suspects/");
  if (Content && Request.Method == "DELETE")
    return this->liftSuspect(*By, *Content, Reply);
  if (auto Id = pathAfter(Request.Path, "/admin/explain/"))
    return this->explain(*Id, Reply);
  sendFailure(Reply, ApiFailure::UnknownRoute);
}

void OperatorApi::showStatus(const ConfigSnapshot &Config,
                             HttpReply &Reply) const {
  HostStatus Present = this->Parts.Status();
  StreamAppenderHealth Health = this->Parts.Budgets.health();
  sendJson(Reply, 200,
           {{"host", Present.Name},
            {"run", Present.Self.Run},
            {"is_ready", Present.IsReady},
            {"is_stopping", Present.IsStopping},
            {"waiting_for", Present.Waiting},
            {"active_requests", Present.Active},
            {"revision", Config.revision().Value},
            {"log_appends", Health.Appends},
            {"log_failures_in_a_row", Health.ConsecutiveFailures},
            {"records_waiting", Health.Queued},
            {"leaving_targets", this->Parts.Watch.leaving()}});
}

void OperatorApi::showBudget(const std::string &Account,
                             HttpReply &Reply) const {
  TeamId Team = idOfName<TeamId>(Account);
  auto View = this->Parts.Budgets.foldOf(Team).view(Team);
  if (!View)
    return sendFailure(Reply, ApiFailure::UnknownRoute, View.error().message());
  const BudgetView &Known = View.value();
  LocalSliceView Local = this->Parts.Budgets.localSlice(Team);
  json Body{{"account", Account},
            {"topped_up", Known.ToppedUp},
            {"settled", Known.Settled},
            {"outstanding", Known.Outstanding},
            {"stranded", Known.Stranded},
            {"unallocated", Known.Unallocated},
            {"is_closed", Known.IsClosed},
            {"offset", Known.Position.At.Value},
            {"slices", json::array()},
            {"here",
             {{"available", Local.Available},
              {"reserved", Local.Reserved},
              {"settling", Local.Settling},
              {"tokens_per_second", Local.Rate}}}};
  for (const SliceView &Slice : Known.Slices)
    Body["slices"].push_back(toJson(Slice));
  sendJson(Reply, 200, Body);
}

void OperatorApi::showOrder(const HttpRequest &Request,
                            HttpReply &Reply) const {
  auto Id = orderIdOf(Request);
  if (!Id)
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "name the order by request, or by team and key");
  const OrderEntry *Known = this->Parts.Orders.fold().find(*Id);
  if (!Known)
    return sendFailure(Reply, ApiFailure::UnknownOrder);
  json Body = toJson(*Known);
  Body["request"] = toHex(*Id);
  sendJson(Reply, 200, Body);
}

void OperatorApi::settleOrder(const EffectiveOperator &By,
                              const HttpRequest &Request, HttpReply &Reply) {
  if (!By.hasRole(OperatorRole::Settle))
    return sendFailure(Reply, ApiFailure::NotAllowed);
  auto Id = orderIdOf(Request);
  std::string HasRun = Request.parameter("has_run");
  if (!Id || (HasRun != "true" && HasRun != "false"))
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "name the order, and has_run as true or false");
  OrderSettled Word{*Id, HasRun == "true", By.Name, Request.parameter("note")};
  auto Settled =
      this->Parts.Orders.settle(Word, this->Parts.Tasks.Now() + SettleTimeout);
  if (!Settled)
    return sendFailure(Reply, ApiFailure::LogUnavailable,
                       Settled.error().message());
  this->showOrder(Request, Reply);
}

void OperatorApi::listSuspects(HttpReply &Reply) const {
  json Body = json::array();
  for (const SuspectLine &Line :
       this->Parts.Suspects.list(this->Parts.Tasks.Now()))
    Body.push_back({{"content", toHex(Line.Content)},
                    {"crashes", Line.Crashes},
                    {"crashes_here", Line.CrashesHere},
                    {"is_quarantined", Line.IsQuarantined}});
  sendJson(Reply, 200, Body);
}

void OperatorApi::liftSuspect(const EffectiveOperator &By,
                              const std::string &ContentHex, HttpReply &Reply) {
  auto Content = requestIdOfHex(ContentHex);
  if (!By.hasRole(OperatorRole::Settle))
    return sendFailure(Reply, ApiFailure::NotAllowed);
  if (!Content)
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "a content is named by 32 hexadecimal digits");
  auto Lifted = this->Parts.Suspects.lift(*Content);
  if (!Lifted)
    return sendFailure(Reply, ApiFailure::LogUnavailable,
                       Lifted.error().message());
  sendJson(Reply, 200, {{"lifted", ContentHex}});
}

void OperatorApi::explain(const std::string &RequestHex,
                          HttpReply &Reply) const {
  auto Id = requestIdOfHex(RequestHex);
  if (!Id)
    return sendFailure(Reply, ApiFailure::MalformedRequest,
                       "a request is named by 32 hexadecimal digits");
  json Body{{"request", RequestHex}, {"choices", json::array()}};
  for (const Explanation &Noted : this->Parts.Explanations.find(*Id))
    Body["choices"].push_back(toJson(Noted, this->Parts.Watch));
  sendJson(Reply, 200, Body);
}

} // namespace bergamothook
