#include "LibStandinServer/ServiceStandin.h"

#include "LibAdapter/EngineWire.h"
#include "LibAdapter/HttpService.h"

namespace bergamothook {

namespace {

constexpr Duration SilencePollInterval = std::chrono::milliseconds(100);

/// Reads a call back from what the adapter sent. A plain caller that names no
/// request gets the identifier 0.
ServiceCall callOf(const HttpRequest &Request) {
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
  this->Faults.addCount("silent_after_effect_next",
                        this->SilentAfterEffectNext);
  this->Faults.addCount("lose_answer_next", this->LoseAnswerNext);
  this->Faults.addCount("lose_before_effect_next", this->LoseBeforeEffectNext);
  this->Faults.addCount("fail_next", this->FailNext);
}

void ServiceStandin::serve(const HttpRequest &Request, HttpReply Reply) {
  if (answerCommon(Request, Reply, this->Faults))
    return;
  if (Request.Path == "/ledger")
    answerJson(Reply, 200, this->ledgerJson());
  else if (this->IsLeaving || takeOne(this->RefuseNext))
    answerNotRun(Reply, TargetError::Refused);
  else if (takeOne(this->LoseBeforeEffectNext))
    Reply.abort();
  else
    this->run(Request, Reply);
}

void ServiceStandin::run(const HttpRequest &Request, HttpReply &Reply) {
  this->Tasks.sleepUntil(this->Tasks.Now() + this->Latency);
  auto Answer = this->Service.run(callOf(Request));
  if (!Answer)
    answerNotRun(Reply, Answer.error());
  else if (takeOne(this->SilentAfterEffectNext))
    this->staySilent(Reply);
  else if (takeOne(this->LoseAnswerNext))
    Reply.abort();
  else if (takeOne(this->FailNext))
    answerJson(Reply, 500, {{"error", "the call failed half way"}});
  else
    Reply.sendWhole(Answer.value().Status, Answer.value().ContentType,
                    Answer.value().Body);
}

void ServiceStandin::staySilent(HttpReply &Reply) {
  while (!Reply.isCallerGone())
    this->Tasks.sleepUntil(this->Tasks.Now() + SilencePollInterval);
}

nlohmann::json ServiceStandin::ledgerJson() const {
  auto Runs = nlohmann::json::array();
  for (const OrderRun &Run : this->Service.ledger())
    Runs.push_back({{"request", toHex(Run.Request)},
                    {"attempt", Run.Attempt.Value},
                    {"fencing_number", Run.FencingNumber},
                    {"method", Run.Method},
                    {"path", Run.Path},
                    {"body", Run.Body}});
  return {{"runs", Runs}};
}

} // namespace bergamothook
