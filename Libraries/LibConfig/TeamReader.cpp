#include "LibConfig/TeamReader.h"

#include "LibConfig/ObjectReader.h"

#include <algorithm>

namespace bergamothook::detail {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxModels = 64;
constexpr std::size_t MaxServices = 256;
constexpr std::size_t MaxRules = 64;
constexpr std::size_t MaxPathBytes = 256;
constexpr std::size_t MaxKeys = 16;
constexpr std::int64_t MaxPriority = 1000;
constexpr std::int64_t MaxTokens = 10'000'000;
constexpr std::int64_t MaxSliceTokens = 1'000'000'000'000;
constexpr Duration MaxDeadline = 24h;
constexpr Duration MaxKeyRetention = 24h * 30;

ClassSettings readClass(ObjectReader Reader) {
  ClassSettings Parsed;
  Parsed.Deadline =
      Reader.milliseconds("deadlineMilliseconds", 1ms, MaxDeadline);
  Parsed.IsRepeatable = Reader.boolean("repeatable");
  Parsed.MayHedge = Reader.boolean("hedge");
  Parsed.HedgeAfter =
      Reader.milliseconds("hedgeAfterMilliseconds", 1ms, MaxDeadline);
  Parsed.MaxTokens = Reader.integer("maxTokens", 1, MaxTokens);
  Parsed.PriorityOffset =
      Reader.integer("priorityOffset", -MaxPriority, MaxPriority);
  Reader.finish();
  return Parsed;
}

/// A hedged request may run twice, so hedging requires a repeatable class.
void checkHedging(ReadState &State, WorkClass Class,
                  const ClassSettings &Settings) {
  if (Settings.MayHedge && !Settings.IsRepeatable)
    State.fail(ConfigError::BadValue,
               std::string("/classes/") + nameOf(Class) + "/hedge", "true",
               "false, unless \"repeatable\" is true");
}

BudgetSettings readBudget(ObjectReader Reader) {
  BudgetSettings Parsed;
  Parsed.Account = Reader.textOr("account", MaxNameBytes, "");
  Parsed.SliceTokens = Reader.integer("sliceTokens", 1, MaxSliceTokens);
  Parsed.MaxReservePercent = Reader.integer("maxReservePercent", 1, 100);
  Reader.finish();
  return Parsed;
}

OrderSettings readOrders(ObjectReader Reader) {
  OrderSettings Parsed;
  Parsed.KeyRetention =
      Reader.milliseconds("rememberKeysMilliseconds", 1min, MaxKeyRetention);
  Parsed.NeedsTicket = Reader.boolean("needsTicket");
  Reader.finish();
  return Parsed;
}

CallRule readRule(ObjectReader &Reader) {
  CallRule Parsed;
  Parsed.Method = Reader.textOr("method", MaxNameBytes, "*");
  Parsed.PathPrefix = Reader.text("path", MaxPathBytes);
  Parsed.IsRepeatable = Reader.boolean("repeatable");
  Reader.finish();
  return Parsed;
}

std::optional<OperatorRole> parseRole(const std::string &Name) {
  if (Name == "read")
    return OperatorRole::Read;
  if (Name == "publish")
    return OperatorRole::Publish;
  if (Name == "settle")
    return OperatorRole::Settle;
  return std::nullopt;
}

} // namespace

const json &defaultSettings() {
  static const json Defaults = json::parse(R"({
    "priority": 0,
    "weight": 100,
    "maxConcurrentRequests": 1000,
    "maxTokensPerRequest": 8192,
    "models": [],
    "services": [],
    "budget": {"sliceTokens": 100000, "maxReservePercent": 100},
    "orders": {"rememberKeysMilliseconds": 86400000, "needsTicket": false},
    "classes": {
      "quick": {"deadlineMilliseconds": 10000, "repeatable": true,
                "hedge": false, "hedgeAfterMilliseconds": 1000,
                "maxTokens": 2048, "priorityOffset": 10},
      "draft": {"deadlineMilliseconds": 600000, "repeatable": true,
                "hedge": false, "hedgeAfterMilliseconds": 30000,
                "maxTokens": 8192, "priorityOffset": 0},
      "order": {"deadlineMilliseconds": 30000, "repeatable": false,
                "hedge": false, "hedgeAfterMilliseconds": 1000,
                "maxTokens": 2048, "priorityOffset": 10}
    }
  })");
  return Defaults;
}

ConfigResult<EffectiveTeam> readSettings(const ObjectKey &Object,
                                         const json &Settings) {
  ReadState State{Object, std::nullopt};
  ObjectReader Reader(State, Settings, "");
  EffectiveTeam Parsed;
  Parsed.Priority = Reader.integer("priority", -MaxPriority, MaxPriority);
  Parsed.Weight = Reader.integer("weight", 1, 1'000'000);
  Parsed.MaxConcurrentRequests =
      Reader.integer("maxConcurrentRequests", 0, 1'000'000);
  Parsed.MaxTokensPerRequest =
      Reader.integer("maxTokensPerRequest", 1, MaxTokens);
  Parsed.ModelNames = Reader.texts("models", MaxModels, MaxNameBytes);
  Parsed.Services = Reader.texts("services", MaxServices, MaxNameBytes);
  Parsed.Budget = readBudget(Reader.object("budget"));
  Parsed.Orders = readOrders(Reader.object("orders"));
  ObjectReader Classes = Reader.object("classes");
  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    auto Class = static_cast<WorkClass>(Index);
    Parsed.Classes[Index] = readClass(Classes.object(nameOf(Class)));
    checkHedging(State, Class, Parsed.Classes[Index]);
  }
  Classes.finish();
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  std::sort(Parsed.Services.begin(), Parsed.Services.end());
  for (const auto &Model : Parsed.ModelNames)
    Parsed.Models.push_back(idOfName<ModelId>(Model));
  std::sort(Parsed.Models.begin(), Parsed.Models.end());
  return Parsed;
}

ConfigResult<EffectiveService> readService(const ObjectKey &Object,
                                           const json &Value) {
  ReadState State{Object, std::nullopt};
  ObjectReader Reader(State, Value, "");
  EffectiveService Parsed;
  Parsed.Name = Object.Name;
  for (auto &Rule : Reader.objects("calls", MaxRules))
    Parsed.Rules.push_back(readRule(Rule));
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  return Parsed;
}

ConfigResult<EffectiveOperator> readOperator(const ObjectKey &Object,
                                             const json &Value) {
  ReadState State{Object, std::nullopt};
  ObjectReader Reader(State, Value, "");
  EffectiveOperator Parsed;
  Parsed.Name = Object.Name;
  for (const auto &Name :
       Reader.texts("roles", OperatorRoleCount, MaxNameBytes)) {
    auto Role = parseRole(Name);
    if (Role)
      Parsed.Roles.push_back(*Role);
    else
      State.fail(ConfigError::BadValue, "/roles", Name,
                 "read, publish or settle");
  }
  Parsed.Keys = Reader.hashes("keys", MaxKeys);
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  return Parsed;
}

} // namespace bergamothook::detail
