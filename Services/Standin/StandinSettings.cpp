#include "StandinSettings.h"

#include "LibAdapter/MembershipWire.h"

namespace bergamothook {

namespace {

using nlohmann::json;

constexpr std::string_view Schema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["listen"],
  "properties": {
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string"},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535},
        "threads": {"type": "integer", "minimum": 1, "maximum": 64}
      }
    },
    "seed": {"type": "integer", "minimum": 0},
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "appends_per_second": {"type": "number", "minimum": 1},
        "append_burst": {"type": "number", "minimum": 1},
        "max_payload_bytes": {"type": "integer", "minimum": 1},
        "retention_seconds": {"type": "number", "minimum": 1}
      }
    },
    "members": {"type": "array", "items": {"type": "object"}},
    "service": {
      "type": "object",
      "additionalProperties": false,
      "properties": {"checks_fence": {"type": "boolean"}}
    },
    "engine": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "name": {"type": "string"},
        "models": {"type": "array", "items": {"type": "string"}},
        "step_base_us": {"type": "number", "minimum": 1},
        "step_per_sequence_us": {"type": "number", "minimum": 0},
        "prefill_tokens_per_second": {"type": "number", "minimum": 1},
        "prefill_tokens_per_step": {"type": "integer", "minimum": 1},
        "batch_limit": {"type": "integer", "minimum": 1},
        "waiting_limit": {"type": "integer", "minimum": 0},
        "cache_blocks": {"type": "integer", "minimum": 1},
        "load_lag_ms": {"type": "number", "minimum": 0},
        "keep_finished_seconds": {"type": "number", "minimum": 0},
        "cache_event_delay_ms": {"type": "number", "minimum": 0},
        "cache_event_loss": {"type": "number", "minimum": 0, "maximum": 1},
        "load_time_ms": {"type": "number", "minimum": 0},
        "max_models": {"type": "integer", "minimum": 1},
        "restart_after_ms": {"type": "number", "minimum": 0},
        "checks_fence": {"type": "boolean"}
      }
    },
    "faults": {"type": "object"}
  }
})json";

using Microseconds = std::chrono::duration<double, std::micro>;
using Milliseconds = std::chrono::duration<double, std::milli>;
using Seconds = std::chrono::duration<double>;

/// Reads a time in the unit \p Unit, or leaves \p Value as it is.
template <typename Unit>
void readTime(const json &From, const char *Key, Duration &Value) {
  if (From.contains(Key))
    Value = std::chrono::duration_cast<Duration>(Unit(From[Key].get<double>()));
}

template <typename T>
void readValue(const json &From, const char *Key, T &Value) {
  if (From.contains(Key))
    Value = From[Key].get<T>();
}

void readListen(const json &From, HttpServerLimits &Listen) {
  readValue(From, "address", Listen.Address);
  readValue(From, "port", Listen.Port);
  readValue(From, "threads", Listen.Threads);
}

void readLog(const json &From, LogLimits &Log) {
  readValue(From, "appends_per_second", Log.AppendsPerSecond);
  readValue(From, "append_burst", Log.AppendBurst);
  readValue(From, "max_payload_bytes", Log.MaxPayloadBytes);
  readTime<Seconds>(From, "retention_seconds", Log.Retention);
}

void readEngine(const json &From, StandinSettings &Settings) {
  EngineModelSettings &Engine = Settings.Engine;
  readValue(From, "name", Engine.Name);
  readValue(From, "models", Engine.Models);
  readTime<Microseconds>(From, "step_base_us", Engine.StepBase);
  readTime<Microseconds>(From, "step_per_sequence_us", Engine.StepPerSequence);
  readValue(From, "prefill_tokens_per_second", Engine.PrefillTokensPerSecond);
  readValue(From, "prefill_tokens_per_step", Engine.PrefillTokensPerStep);
  readValue(From, "batch_limit", Engine.BatchLimit);
  readValue(From, "waiting_limit", Engine.WaitingLimit);
  readValue(From, "cache_blocks", Engine.CacheBlocks);
  readTime<Milliseconds>(From, "load_lag_ms", Engine.LoadLag);
  readTime<Milliseconds>(From, "cache_event_delay_ms", Engine.CacheEventDelay);
  readValue(From, "cache_event_loss", Engine.CacheEventLoss);
  readTime<Milliseconds>(From, "load_time_ms", Engine.LoadTime);
  readValue(From, "max_models", Engine.MaxModels);
  readTime<Seconds>(From, "keep_finished_seconds", Engine.KeepFinished);
  readTime<Milliseconds>(From, "restart_after_ms", Settings.RestartAfter);
  readValue(From, "checks_fence", Engine.ChecksFence);
}

SettingsProblem badMembers(const std::string &File) {
  SettingsProblem Problem;
  Problem.Code = SettingsError::SchemaViolation;
  Problem.File = File;
  Problem.Pointer = "/members";
  Problem.Found = "a malformed member";
  Problem.Allowed = "name, role, address, port, and optionally state, "
                    "failure_domain, serves, checks_fence";
  return Problem;
}

} // namespace

SettingsResult<StandinSettings> readStandinSettings(const std::string &File) {
  BOOST_OUTCOME_TRY(Document, readSettingsFile(File, Schema));
  StandinSettings Settings;
  const json Empty = json::object();
  readListen(Document["listen"], Settings.Listen);
  readValue(Document, "seed", Settings.Seed);
  readLog(Document.value("log", Empty), Settings.Log);
  readEngine(Document.value("engine", Empty), Settings);
  readValue(Document.value("service", Empty), "checks_fence",
            Settings.ServiceChecksFence);
  Settings.Faults = Document.value("faults", Empty);
  json Members{{"version", 0},
               {"members", Document.value("members", json::array())}};
  auto List = memberListOfJson(Members);
  if (!List)
    return badMembers(File);
  Settings.Members = std::move(List.value().Members);
  return Settings;
}

} // namespace bergamothook
