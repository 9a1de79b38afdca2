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
constexpr Duration LongestDeadline = 24h;
constexpr Duration LongestKeyMemory = 24h * 30;

ClassSettings readClass(ObjectReader Reader) {
  ClassSettings Read;
  Read.Deadline =
      Reader.milliseconds("deadlineMilliseconds", 1ms, LongestDeadline);
  Read.IsRepeatable = Reader.boolean("repeatable");
  Read.MayHedge = Reader.boolean("hedge");
  Read.HedgeAfter =
      Reader.milliseconds("hedgeAfterMilliseconds", 1ms, LongestDeadline);
  Read.MaxTokens = Reader.integer("maxTokens", 1, MaxTokens);
  Read.PriorityOffset =
      Reader.integer("priorityOffset", -MaxPriority, MaxPriority);
  Reader.finish();
  return Read;
}

/// A hedged request runs twice, so that it must be repeatable.
void checkHedging(ReadState &State, WorkClass Class,
                  const ClassSettings &Settings) {
  if (Settings.MayHedge && !Settings.IsRepeatable)
    State.fail(ConfigError::BadValue,
               std::string("/classes/") + nameOf(Class) + "/hedge", "true",
               "false, unless \"repeatable\" is true");
}

BudgetSettings readBudget(ObjectReader Reader) {
  BudgetSettings Read;
  Read.Account = Reader.textOr("account", MaxNameBytes, "");
  Read.SliceTokens = Reader.integer("sliceTokens", 1, MaxSliceTokens);
  Read.MaxReservePercent = Reader.integer("maxReservePercent", 1, 100);
  Reader.finish();
  return Read;
}

OrderSettings readOrders(ObjectReader Reader) {
  OrderSettings Read;
  Read.RememberKeys =
      Reader.milliseconds("rememberKeysMilliseconds", 1min, LongestKeyMemory);
  Read.NeedsTicket = Reader.boolean("needsTicket");
  Reader.finish();
  return Read;
}

CallRule readRule(ObjectReader &Reader) {
  CallRule Read;
  Read.Method = Reader.textOr("method", MaxNameBytes, "*");
  Read.PathPrefix = Reader.text("path", MaxPathBytes);
  Read.IsRepeatable = Reader.boolean("repeatable");
  Reader.finish();
  return Read;
}

std::optional<OperatorRole> roleNamed(const std::string &Name) {
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
  EffectiveTeam Read;
  Read.Priority = Reader.integer("priority", -MaxPriority, MaxPriority);
  Read.Weight = Reader.integer("weight", 1, 1'000'000);
  Read.MaxConcurrentRequests =
      Reader.integer("maxConcurrentRequests", 0, 1'000'000);
  Read.MaxTokensPerRequest =
      Reader.integer("maxTokensPerRequest", 1, MaxTokens);
  Read.ModelNames = Reader.texts("models", MaxModels, MaxNameBytes);
  Read.Services = Reader.texts("services", MaxServices, MaxNameBytes);
  Read.Budget = readBudget(Reader.object("budget"));
  Read.Orders = readOrders(Reader.object("orders"));
  ObjectReader Classes = Reader.object("classes");
  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    auto Class = static_cast<WorkClass>(Index);
    Read.Classes[Index] = readClass(Classes.object(nameOf(Class)));
    checkHedging(State, Class, Read.Classes[Index]);
  }
  Classes.finish();
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  std::sort(Read.Services.begin(), Read.Services.end());
  for (const auto &Model : Read.ModelNames)
    Read.Models.push_back(idOfName<ModelId>(Model));
  std::sort(Read.Models.begin(), Read.Models.end());
  return Read;
}

ConfigResult<EffectiveService> readService(const ObjectKey &Object,
                                           const json &Value) {
  ReadState State{Object, std::nullopt};
  ObjectReader Reader(State, Value, "");
  EffectiveService Read;
  Read.Name = Object.Name;
  for (auto &Rule : Reader.objects("calls", MaxRules))
    Read.Rules.push_back(readRule(Rule));
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  return Read;
}

ConfigResult<EffectiveOperator> readOperator(const ObjectKey &Object,
                                             const json &Value) {
  ReadState State{Object, std::nullopt};
  ObjectReader Reader(State, Value, "");
  EffectiveOperator Read;
  Read.Name = Object.Name;
  for (const auto &Name :
       Reader.texts("roles", OperatorRoleCount, MaxNameBytes)) {
    auto Role = roleNamed(Name);
    if (Role)
      Read.Roles.push_back(*Role);
    else
      State.fail(ConfigError::BadValue, "/roles", Name,
                 "read, publish or settle");
  }
  Read.Keys = Reader.hashes("keys", MaxKeys);
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  return Read;
}

} // namespace bergamothook::detail
