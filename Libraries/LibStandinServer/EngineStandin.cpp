#include "LibStandinServer/EngineStandin.h"

#include "LibAdapter/EngineControlWire.h"
#include "LibAdapter/EngineWire.h"
#include "LibStandin/TokenText.h"
#include "LibStandinServer/KvWire.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration IdleInterval = std::chrono::milliseconds(200);
constexpr Duration StallPollInterval = std::chrono::milliseconds(100);

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
  case RunOutcome::Moved:
    return "moved";
  }
  return "unknown";
}

} // namespace

EngineStandin::EngineStandin(EngineModelSettings Settings, std::uint64_t Seed,
                             Runtime Tasks, std::function<void()> OnCrash)
    : Engine(std::move(Settings), Seed), Tasks(std::move(Tasks)),
      OnCrash(std::move(OnCrash)) {
  this->addFaults();
}

void EngineStandin::addFaults() {
  this->Faults.addText("crash_marker", this->Engine.CrashMarker);
  this->Faults.addNumber("slow_factor", this->SlowFactor);
  this->Faults.addFlag("is_leaving", this->IsLeaving);
  this->Faults.addAction("silence_open_streams",
                         [this] { ++this->StallEpoch; });
  this->Faults.addCount("silent_next", this->StallNext);
  this->Faults.addCount("cut_next", this->AbortNext);
  this->Faults.addCount("fate_after_tokens", this->FaultAfterTokens);
  this->Faults.addAction("crash", [this] {
    this->Engine.crash(this->Tasks.Now());
    this->WakeUp.notify();
  });
}

void EngineStandin::run() {
  while (!this->IsStopping) {
    std::uint64_t Seen = this->WakeUp.generation();
    this->applyFaults();
    this->Engine.advance(this->Tasks.Now());
    this->Progress.notify();
    if (this->Engine.Model.isDown() && !this->IsRestarting) {
      this->IsRestarting = true;
      this->Tasks.Spawn([this] { this->restart(); });
    }
    TimePoint Idle = this->Tasks.Now() + IdleInterval;
    TimePoint Next = this->Engine.Model.nextEvent().value_or(Idle);
    this->Tasks.WaitOn(this->WakeUp, Seen, std::min(Idle, Next));
  }
}

void EngineStandin::restart() {
  this->OnCrash();
  this->Engine.Model.restart();
  this->IsRestarting = false;
}

void EngineStandin::applyFaults() {
  this->Engine.Model.setSlowdown(this->SlowFactor);
  this->Engine.Model.setLeaving(this->IsLeaving);
}

void EngineStandin::stop() {
  this->IsStopping = true;
  this->WakeUp.notify();
}

void EngineStandin::serve(const HttpRequest &Request, HttpReply Reply) {
  if (serveCommonPaths(Request, Reply, this->Faults))
    return;
  this->applyFaults();
  if (Request.Path == "/ledger")
    sendJson(Reply, 200, this->ledgerJson());
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
    this->serveLoad(Reply);
  else if (Path == EngineCacheEventsPath)
    sendJson(Reply, 200,
             toJson(this->Engine.Model.cache().events(
                 integerParameter(Request, "after", 0), this->Tasks.Now())));
  else if (Path == EngineCachePath)
    sendJson(Reply, 200, toJson(this->Engine.Model.cache().snapshot()));
  else if (Path == EngineOrdersPath && Request.Method == "POST")
    this->serveCommand(Request, Reply);
  else if (Path == KvExportPath && Request.Method == "POST")
    this->exportKv(Request, Reply);
  else if (Path == KvImportPath && Request.Method == "POST")
    this->importKv(Request, Reply);
  else
    sendJson(Reply, 404, {{"error", "no such path"}});
}

void EngineStandin::openStream(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  auto Generation = generationRequestOfJson(*Body);
  if (!Generation) {
    sendNotRun(Reply, Generation.error());
    return;
  }
  auto Opened = this->Engine.open(Generation.value(), this->Tasks.Now());
  if (!Opened) {
    sendNotRun(Reply, Opened.error());
    return;
  }
  this->WakeUp.notify();
  this->sendChunks(Generation.value(), Reply);
}

void EngineStandin::sendChunks(const GenerationRequest &Generation,
                               HttpReply &Reply) {
  StreamFaults Injected = this->takeStreamFaults();
  std::uint32_t Sent = Generation.ResumeAfterTokens;
  Reply.beginStream(200, "application/x-ndjson");
  while (!Reply.isClientDisconnected() && !this->IsStopping) {
    std::uint64_t Seen = this->Progress.generation();
    if (this->isStalled(Injected, Sent)) {
      this->stall(Reply);
      return;
    }
    auto Next = this->Engine.chunkAfter(Generation.Request, Sent);
    bool MustAbort =
        Injected.AbortAfterTokens && Sent >= *Injected.AbortAfterTokens;
    if (!Next || MustAbort) {
      Reply.abort();
      return;
    }
    if (!Next.value()) {
      this->Tasks.WaitOn(this->Progress, Seen,
                         this->Tasks.Now() + IdleInterval);
      continue;
    }
    StreamChunk &Chunk = *Next.value();
    Chunk.Attempt = Generation.Attempt;
    Sent += Chunk.Tokens;
    Reply.write(toJson(Chunk).dump() + "\n");
    if (Chunk.IsLast) {
      Reply.end();
      return;
    }
  }
}

EngineStandin::StreamFaults EngineStandin::takeStreamFaults() {
  StreamFaults Taken;
  Taken.StallEpoch = this->StallEpoch;
  if (consumeOne(this->StallNext))
    Taken.StallAfterTokens = this->FaultAfterTokens;
  else if (consumeOne(this->AbortNext))
    Taken.AbortAfterTokens = this->FaultAfterTokens;
  return Taken;
}

bool EngineStandin::isStalled(const StreamFaults &Injected,
                              std::uint32_t Sent) const {
  if (Injected.StallEpoch != this->StallEpoch)
    return true;
  return Injected.StallAfterTokens && Sent >= *Injected.StallAfterTokens;
}

void EngineStandin::stall(HttpReply &Reply) {
  while (!Reply.isClientDisconnected() && !this->IsStopping)
    this->Tasks.sleepUntil(this->Tasks.Now() + StallPollInterval);
}

void EngineStandin::serveStream(const HttpRequest &Request,
                                const std::string &Hex, HttpReply &Reply) {
  auto Id = requestIdOfHex(Hex);
  if (!Id) {
    sendNotRun(Reply, TargetError::BadRequest);
    return;
  }
  auto Status = Request.Method == "DELETE"
                    ? this->Engine.cancel(*Id, this->Tasks.Now())
                    : this->Engine.Model.probe(*Id);
  this->Progress.notify();
  if (!Status)
    sendNotRun(Reply, Status.error());
  else
    sendJson(Reply, 200, toJson(Status.value()));
}

void EngineStandin::serveLoad(HttpReply &Reply) {
  auto Load = this->Engine.Model.load(this->Tasks.Now());
  if (!Load)
    sendNotRun(Reply, Load.error());
  else
    sendJson(Reply, 200, toJson(Load.value()));
}

void EngineStandin::serveCommand(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  auto Command = engineCommandOfJson(*Body);
  if (!Command) {
    sendNotRun(Reply, Command.error());
    return;
  }
  auto Executed =
      this->Engine.Model.control(Command.value(), this->Tasks.Now());
  this->WakeUp.notify();
  if (!Executed)
    sendNotRun(Reply, Executed.error());
  else
    sendJson(Reply, 200, {{"done", true}});
}

void EngineStandin::exportKv(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  auto Id = requestIdOfHex(Body->is_object() ? Body->value("request", "") : "");
  if (!Id) {
    sendNotRun(Reply, TargetError::BadRequest);
    return;
  }
  auto Exported = this->Engine.exportKv(*Id, this->Tasks.Now());
  this->Progress.notify();
  if (!Exported)
    sendNotRun(Reply, Exported.error());
  else
    sendJson(Reply, 200, toJson(Exported.value()));
}

void EngineStandin::importKv(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  auto Cache = kvCacheOfJson(*Body);
  if (!Cache) {
    sendNotRun(Reply, Cache.error());
    return;
  }
  auto Imported = this->Engine.Model.importKv(Cache.value());
  if (!Imported)
    sendNotRun(Reply, Imported.error());
  else
    sendJson(Reply, 200, {{"done", true}});
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
         {"first_token", Run.FirstToken},
         {"opens", Run.Opens},
         {"answer", tokensText(Run.Request, 0, Run.Counted.GeneratedTokens)},
         {"outcome", nameOf(Run.Outcome)}});
  return {{"runs", Runs}};
}

} // namespace bergamothook
