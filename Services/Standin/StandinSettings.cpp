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

/// Reads a duration in the unit \p Unit. Leaves \p Value unchanged if the key
/// is missing.
template <typename Unit>
void readTime(const json &Input, const char *Key, Duration &Value) {
  if (Input.contains(Key))
    Value =
        std::chrono::duration_cast<Duration>(Unit(Input[Key].get<double>()));
}

template <typename T>
void readValue(const json &Input, const char *Key, T &Value) {
  if (Input.contains(Key))
    Value = Input[Key].get<T>();
}

void readListen(const json &Input, HttpServerLimits &Listen) {
  readValue(Input, "address", Listen.Address);
  readValue(Input, "port", Listen.Port);
  readValue(Input, "threads", Listen.Threads);
}

void readLog(const json &Input, LogLimits &Log) {
  readValue(Input, "appends_per_second", Log.AppendsPerSecond);
  readValue(Input, "append_burst", Log.AppendBurst);
  readValue(Input, "max_payload_bytes", Log.MaxPayloadBytes);
  readTime<Seconds>(Input, "retention_seconds", Log.Retention);
}

void readEngine(const json &Input, StandinSettings &Settings) {
  EngineModelSettings &Engine = Settings.Engine;
  readValue(Input, "name", Engine.Name);
  readValue(Input, "models", Engine.Models);
  readTime<Microseconds>(Input, "step_base_us", Engine.StepBase);
  readTime<Microseconds>(Input, "step_per_sequence_us", Engine.StepPerSequence);
  readValue(Input, "prefill_tokens_per_second", Engine.PrefillTokensPerSecond);
  readValue(Input, "prefill_tokens_per_step", Engine.PrefillTokensPerStep);
  readValue(Input, "batch_limit", Engine.BatchLimit);
  readValue(Input, "waiting_limit", Engine.WaitingLimit);
  readValue(Input, "cache_blocks", Engine.CacheBlocks);
  readTime<Milliseconds>(Input, "load_lag_ms", Engine.LoadLag);
  readTime<Milliseconds>(Input, "cache_event_delay_ms", Engine.CacheEventDelay);
  readValue(Input, "cache_event_loss", Engine.CacheEventLoss);
  readTime<Milliseconds>(Input, "load_time_ms", Engine.LoadTime);
  readValue(Input, "max_models", Engine.MaxModels);
  readTime<Seconds>(Input, "keep_finished_seconds", Engine.FinishedRetention);
  readTime<Milliseconds>(Input, "restart_after_ms", Settings.RestartAfter);
  readValue(Input, "checks_fence", Engine.ChecksFence);
}

SettingsProblem makeMembersProblem(const std::string &File) {
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
    return makeMembersProblem(File);
  Settings.Members = std::move(List.value().Members);
  return Settings;
}

} // namespace bergamothook
