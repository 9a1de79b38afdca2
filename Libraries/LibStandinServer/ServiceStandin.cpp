#include "LibStandinServer/ServiceStandin.h"

#include "LibAdapter/EngineWire.h"
#include "LibAdapter/HttpService.h"

namespace bergamothook {

namespace {

constexpr Duration StallPollInterval = std::chrono::milliseconds(100);

/// Parses a call from the headers that the adapter sends. A request without
/// X-Request-Id gets the identifier 0.
ServiceCall parseServiceCall(const HttpRequest &Request) {
  ServiceCall Call;
  Call.Request =
      requestIdOfHex(Request.header("x-request-id")).value_or(RequestId{});
  Call.Attempt = AttemptNumber{static_cast<std::uint32_t>(
      parseNumber(Request.header("x-attempt")).value_or(0))};
  Call.FencingNumber =
      parseNumber(Request.header("x-fencing-number")).value_or(0);
  Call.Method = Request.Method;
  Call.Path = Request.Path;
  Call.Body = Request.Body;
  Call.ContentType = Request.header("content-type");
  return Call;
}

} // namespace

ServiceStandin::ServiceStandin(bool ChecksFence, Runtime Tasks)
    : Service(ChecksFence), Tasks(std::move(Tasks)) {
  this->Faults.addTime("latency_ms", this->Latency);
  this->Faults.addFlag("is_leaving", this->IsLeaving);
  this->Faults.addCount("refuse_next", this->RefuseNext);
  this->Faults.addCount("silent_after_effect_next", this->StallAfterEffectNext);
  this->Faults.addCount("lose_answer_next", this->DropResponseNext);
  this->Faults.addCount("lose_before_effect_next", this->DropRequestNext);
  this->Faults.addCount("fail_next", this->FailNext);
}

void ServiceStandin::serve(const HttpRequest &Request, HttpReply Reply) {
  if (serveCommonPaths(Request, Reply, this->Faults))
    return;
  if (Request.Path == "/ledger")
    sendJson(Reply, 200, this->ledgerJson());
  else if (this->IsLeaving || consumeOne(this->RefuseNext))
    sendNotRun(Reply, TargetError::Refused);
  else if (consumeOne(this->DropRequestNext))
    Reply.abort();
  else
    this->run(Request, Reply);
}

void ServiceStandin::run(const HttpRequest &Request, HttpReply &Reply) {
  this->Tasks.sleepUntil(this->Tasks.Now() + this->Latency);
  auto Response = this->Service.run(parseServiceCall(Request));
  if (!Response)
    sendNotRun(Reply, Response.error());
  else if (consumeOne(this->StallAfterEffectNext))
    this->stall(Reply);
  else if (consumeOne(this->DropResponseNext))
    Reply.abort();
  else if (consumeOne(this->FailNext))
    sendJson(Reply, 500, {{"error", "the call failed half way"}});
  else
    Reply.sendResponse(Response.value().Status, Response.value().ContentType,
                       Response.value().Body);
}

void ServiceStandin::stall(HttpReply &Reply) {
  while (!Reply.isClientDisconnected())
    this->Tasks.sleepUntil(this->Tasks.Now() + StallPollInterval);
}

nlohmann::json ServiceStandin::ledgerJson() const {
  auto Runs = nlohmann::json::array();
  for (const ServiceRun &Run : this->Service.ledger())
    Runs.push_back({{"request", toHex(Run.Request)},
                    {"attempt", Run.Attempt.Value},
                    {"fencing_number", Run.FencingNumber},
                    {"method", Run.Method},
                    {"path", Run.Path},
                    {"body", Run.Body}});
  return {{"runs", Runs}};
}

} // namespace bergamothook
