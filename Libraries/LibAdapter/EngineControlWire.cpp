#include "LibAdapter/EngineControlWire.h"

#include "LibAdapter/GuardedParse.h"

#include <array>

namespace bergamothook {

namespace {

constexpr std::array<std::pair<EngineCommandKind, const char *>, 3> KindNames{{
    {EngineCommandKind::Load, "load"},
    {EngineCommandKind::Unload, "unload"},
    {EngineCommandKind::SetRole, "set_role"},
}};

constexpr std::array<std::pair<EngineRole, const char *>, 3> RoleNames{{
    {EngineRole::Both, "both"},
    {EngineRole::Prefill, "prefill"},
    {EngineRole::Decode, "decode"},
}};

template <typename Names, typename Enum>
const char *nameIn(const Names &Table, Enum Value) {
  for (const auto &[Known, Name] : Table)
    if (Known == Value)
      return Name;
  return "unknown";
}

template <typename Enum, typename Names>
Result<Enum> valueIn(const Names &Table, const std::string &Name) {
  for (const auto &[Value, Known] : Table)
    if (Name == Known)
      return Value;
  return TargetError::BadAnswer;
}

} // namespace

nlohmann::json toJson(const EngineCommand &Order) {
  return {{"fence", Order.Fence},     {"kind", nameIn(KindNames, Order.Kind)},
          {"model", Order.Model},     {"adapter", Order.Adapter},
          {"version", Order.Version}, {"role", nameIn(RoleNames, Order.Role)}};
}

nlohmann::json toJson(const std::vector<CacheEvent> &Events) {
  auto List = nlohmann::json::array();
  for (const CacheEvent &Event : Events)
    List.push_back({{"sequence", Event.Sequence},
                    {"block", Event.Block},
                    {"is_stored", Event.IsStored}});
  return {{"events", List}};
}

nlohmann::json toJson(const CacheSnapshot &Whole) {
  return {{"sequence", Whole.Sequence}, {"blocks", Whole.Blocks}};
}

Result<EngineCommand> engineCommandOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<EngineCommand>([&]() -> Result<EngineCommand> {
    EngineCommand Order;
    Order.Fence = Json.value("fence", std::uint64_t{0});
    BOOST_OUTCOME_TRY(Kind, valueIn<EngineCommandKind>(
                                KindNames, Json.at("kind").get<std::string>()));
    Order.Kind = Kind;
    Order.Model = Json.value("model", "");
    Order.Adapter = Json.value("adapter", "");
    Order.Version = Json.value("version", "");
    BOOST_OUTCOME_TRY(
        Role, valueIn<EngineRole>(RoleNames,
                                  Json.value("role", std::string("both"))));
    Order.Role = Role;
    return Order;
  });
}

Result<std::vector<CacheEvent>> cacheEventsOfJson(const nlohmann::json &Json) {
  using Events = std::vector<CacheEvent>;
  return detail::guardedParse<Events>([&]() -> Result<Events> {
    Events Parsed;
    for (const auto &Line : Json.at("events"))
      Parsed.push_back({Line.at("sequence").get<std::uint64_t>(),
                        Line.at("block").get<PrefixHash>(),
                        Line.at("is_stored").get<bool>()});
    return Parsed;
  });
}

Result<CacheSnapshot> cacheSnapshotOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<CacheSnapshot>([&]() -> Result<CacheSnapshot> {
    CacheSnapshot Whole;
    Whole.Sequence = Json.at("sequence").get<std::uint64_t>();
    Whole.Blocks = Json.at("blocks").get<std::vector<PrefixHash>>();
    return Whole;
  });
}

} // namespace bergamothook
