#include "LibStandinServer/EngineStandin.h"

#include "LibStandin/TokenText.h"

#include "LibAdapter/EngineWire.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration IdleInterval = std::chrono::milliseconds(200);
constexpr Duration SilencePollInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t MaxEventsPerRead = 1000;

const char *nameOf(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Running:
    return "running";
  case RunOutcome::Stop:
    return "stop";
  case RunOutcome::Length:
    return "length";
  case RunOutcome::Cancelled:
    return "cancelled";
  case RunOutcome::Crashed:
    return "crashed";
  }
  return "unknown";
}

} // namespace

EngineStandin::EngineStandin(BatchEngineLimits Limits, std::uint64_t Seed,
                             Runtime Tasks, std::function<void()> OnCrash)
    : Engine(std::move(Limits), Seed), Tasks(std::move(Tasks)),
      OnCrash(std::move(OnCrash)) {
  this->addFaults();
}

void EngineStandin::addFaults() {
  this->Faults.addText("crash_marker", this->Engine.Faults.CrashMarker);
  this->Faults.addNumber("slow_factor", this->Engine.Faults.SlowFactor);
  this->Faults.addFlag("is_leaving", this->Engine.Faults.IsLeaving);
  this->Faults.addTime("cache_event_lag_ms", this->Engine.Cache.Faults.Lag);
  this->Faults.addNumber("cache_event_lost_share",
                         this->Engine.Cache.Faults.LostShare);
  this->Faults.addAction("silence_open_streams",
                         [this] { ++this->SilenceEpoch; });
  this->Faults.addCount("silent_next", this->SilentNext);
  this->Faults.addCount("cut_next", this->CutNext);
  this->Faults.addCount("fate_after_tokens", this->FateAfterTokens);
  this->Faults.addAction("crash", [this] {
    this->Engine.crash();
    this->WakeUp.notify();
  });
}

void EngineStandin::run() {
  while (!this->IsStopping) {
    std::uint64_t Seen = this->WakeUp.generation();
    this->Engine.advance(this->Tasks.Now());
    this->Progress.notify();
    if (this->Engine.takeCrash()) {
      this->Tasks.Spawn(this->OnCrash);
      continue;
    }
    TimePoint Idle = this->Tasks.Now() + IdleInterval;
    TimePoint Next = this->Engine.nextStepEnd().value_or(Idle);
    this->Tasks.WaitOn(this->WakeUp, Seen, std::min(Idle, Next));
  }
}

void EngineStandin::stop() {
  this->IsStopping = true;
  this->WakeUp.notify();
}

void EngineStandin::serve(const HttpRequest &Request, HttpReply Reply) {
  if (answerCommon(Request, Reply, this->Faults))
    return;
  if (Request.Path == "/ledger")
    answerJson(Reply, 200, this->ledgerJson());
  else
    this->serveEngine(Request, Reply);
}

void EngineStandin::serveEngine(const HttpRequest &Request, HttpReply &Reply) {
  const std::string StreamPrefix = std::string(EngineStreamsPath) + "/";
  const std::string &Path = Request.Path;
  if (Path == EngineStreamsPath && Request.Method == "POST")
    this->openStream(Request, Reply);
  else if (Path.rfind(StreamPrefix, 0) == 0)
    this->serveStream(Request, Path.substr(StreamPrefix.size()), Reply);
  else if (Path == EngineLoadPath)
    answerJson(Reply, 200, toJson(this->Engine.load(this->Tasks.Now())));
  else if (Path.rfind("/engine/cache", 0) == 0)
    this->serveCache(Request, Reply);
  else if (Path == "/engine/models" && Request.Method == "POST")
    this->orderModel(Request, Reply);
  else
    answerJson(Reply, 404, {{"error", "no such path"}});
}

void EngineStandin::openStream(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  auto Order = generationOrderOfJson(*Body);
  if (!Order) {
    answerNotRun(Reply, Order.error());
    return;
  }
  auto Opened = this->Engine.open(Order.value(), this->Tasks.Now());
  if (!Opened) {
    answerNotRun(Reply, Opened.error());
    return;
  }
  this->WakeUp.notify();
  this->sendPieces(Order.value(), Reply);
}

void EngineStandin::sendPieces(const GenerationOrder &Order, HttpReply &Reply) {
  StreamFate Fate = this->drawFate();
  std::uint32_t Sent = Order.ResumeAfterTokens;
  Reply.beginStream(200, "application/x-ndjson");
  while (!Reply.isCallerGone() && !this->IsStopping) {
    std::uint64_t Seen = this->Progress.generation();
    if (this->isSilent(Fate, Sent)) {
      this->staySilent(Reply);
      return;
    }
    auto Piece = this->Engine.pieceAfter(Order.Request, Sent);
    bool IsCut = Fate.CutAfterTokens && Sent >= *Fate.CutAfterTokens;
    if (!Piece || IsCut) {
      Reply.abort();
      return;
    }
    if (!Piece.value()) {
      this->Tasks.WaitOn(this->Progress, Seen,
                         this->Tasks.Now() + IdleInterval);
      continue;
    }
    StreamChunk &Chunk = *Piece.value();
    Chunk.Attempt = Order.Attempt;
    Sent += Chunk.Tokens;
    Reply.write(toJson(Chunk).dump() + "\n");
    if (Chunk.IsLast) {
      Reply.end();
      return;
    }
  }
}

EngineStandin::StreamFate EngineStandin::drawFate() {
  StreamFate Fate;
  Fate.SilenceEpoch = this->SilenceEpoch;
  if (takeOne(this->SilentNext))
    Fate.SilentAfterTokens = this->FateAfterTokens;
  else if (takeOne(this->CutNext))
    Fate.CutAfterTokens = this->FateAfterTokens;
  return Fate;
}

bool EngineStandin::isSilent(const StreamFate &Fate, std::uint32_t Sent) const {
  if (Fate.SilenceEpoch != this->SilenceEpoch)
    return true;
  return Fate.SilentAfterTokens && Sent >= *Fate.SilentAfterTokens;
}

void EngineStandin::staySilent(HttpReply &Reply) {
  while (!Reply.isCallerGone() && !this->IsStopping)
    this->Tasks.sleepUntil(this->Tasks.Now() + SilencePollInterval);
}

void EngineStandin::serveStream(const HttpRequest &Request,
                                const std::string &Hex, HttpReply &Reply) {
  auto Id = requestIdOfHex(Hex);
  if (!Id) {
    answerNotRun(Reply, TargetError::BadRequest);
    return;
  }
  auto Status = Request.Method == "DELETE"
                    ? this->Engine.cancel(*Id, this->Tasks.Now())
                    : this->Engine.probe(*Id);
  this->Progress.notify();
  if (!Status)
    answerNotRun(Reply, Status.error());
  else
    answerJson(Reply, 200, toJson(Status.value()));
}

void EngineStandin::serveCache(const HttpRequest &Request, HttpReply &Reply) {
  if (Request.Path == "/engine/cache/events") {
    answerJson(Reply, 200, this->eventsJson(Request));
    return;
  }
  if (Request.Path == "/engine/cache") {
    answerJson(Reply, 200,
               {{"last_sequence", this->Engine.Cache.lastSequence()},
                {"blocks", this->Engine.Cache.blocks()}});
    return;
  }
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  if (Request.Path == "/engine/cache/import") {
    this->importBlocks(*Body, Reply);
    return;
  }
  bool IsExport = Request.Path == "/engine/cache/export" && Body->is_object() &&
                  Body->contains("model") && (*Body)["model"].is_string() &&
                  Body->contains("prompt") && (*Body)["prompt"].is_string();
  if (!IsExport) {
    answerNotRun(Reply, TargetError::BadRequest);
    return;
  }
  auto Blocks = this->Engine.exportCache((*Body)["model"].get<std::string>(),
                                         (*Body)["prompt"].get<std::string>());
  answerJson(Reply, 200, {{"blocks", Blocks}});
}

void EngineStandin::importBlocks(const nlohmann::json &Body, HttpReply &Reply) {
  try {
    auto Blocks = Body.at("blocks").get<std::vector<PrefixHash>>();
    this->Engine.importCache(Blocks, this->Tasks.Now());
    answerJson(Reply, 200, {{"imported", Blocks.size()}});
  } catch (const nlohmann::json::exception &) {
    answerNotRun(Reply, TargetError::BadRequest);
  }
}

void EngineStandin::orderModel(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  try {
    auto Done = this->Engine.orderModel(
        Body->at("model").get<std::string>(), Body->at("is_loaded").get<bool>(),
        Body->value("fencing_number", std::uint64_t{0}));
    if (!Done)
      answerNotRun(Reply, Done.error());
    else
      answerJson(Reply, 200, {{"done", true}});
  } catch (const nlohmann::json::exception &) {
    answerNotRun(Reply, TargetError::BadRequest);
  }
}

nlohmann::json EngineStandin::eventsJson(const HttpRequest &Request) const {
  auto Events = nlohmann::json::array();
  std::uint64_t Most = std::min(
      MaxEventsPerRead, numberParameter(Request, "max", MaxEventsPerRead));
  for (const CacheEvent &Event : this->Engine.Cache.eventsAfter(
           numberParameter(Request, "after", 0), this->Tasks.Now(), Most))
    Events.push_back({{"sequence", Event.Sequence},
                      {"block", Event.Block},
                      {"is_stored", Event.IsStored}});
  return {{"events", Events}};
}

nlohmann::json EngineStandin::ledgerJson() const {
  auto Runs = nlohmann::json::array();
  for (const GenerationRun &Run : this->Engine.ledger())
    Runs.push_back(
        {{"request", toHex(Run.Request)},
         {"attempt", Run.Attempt.Value},
         {"prompt_tokens", Run.Counted.PromptTokens},
         {"cached_prompt_tokens", Run.Counted.CachedPromptTokens},
         {"generated_tokens", Run.Counted.GeneratedTokens},
         {"opens", Run.Opens},
         {"answer", tokensText(Run.Request, 0, Run.Counted.GeneratedTokens)},
         {"outcome", nameOf(Run.Outcome)}});
  return {{"runs", Runs}};
}

} // namespace bergamothook
