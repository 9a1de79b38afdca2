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
const char *nameOfValue(const Names &Table, Enum Value) {
  for (const auto &[Candidate, Name] : Table)
    if (Candidate == Value)
      return Name;
  return "unknown";
}

template <typename Enum, typename Names>
Result<Enum> valueOfName(const Names &Table, const std::string &Name) {
  for (const auto &[Value, Candidate] : Table)
    if (Name == Candidate)
      return Value;
  return TargetError::BadAnswer;
}

} // namespace

nlohmann::json toJson(const EngineCommand &Command) {
  return {{"fence", Command.Fence},
          {"kind", nameOfValue(KindNames, Command.Kind)},
          {"model", Command.Model},
          {"adapter", Command.Adapter},
          {"version", Command.Version},
          {"role", nameOfValue(RoleNames, Command.Role)}};
}

nlohmann::json toJson(const std::vector<CacheEvent> &Events) {
  auto List = nlohmann::json::array();
  for (const CacheEvent &Event : Events)
    List.push_back({{"sequence", Event.Sequence},
                    {"block", Event.Block},
                    {"is_stored", Event.IsStored}});
  return {{"events", List}};
}

nlohmann::json toJson(const CacheSnapshot &Snapshot) {
  return {{"sequence", Snapshot.Sequence}, {"blocks", Snapshot.Blocks}};
}

Result<EngineCommand> engineCommandOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<EngineCommand>([&]() -> Result<EngineCommand> {
    EngineCommand Command;
    Command.Fence = Json.value("fence", std::uint64_t{0});
    BOOST_OUTCOME_TRY(Kind, valueOfName<EngineCommandKind>(
                                KindNames, Json.at("kind").get<std::string>()));
    Command.Kind = Kind;
    Command.Model = Json.value("model", "");
    Command.Adapter = Json.value("adapter", "");
    Command.Version = Json.value("version", "");
    BOOST_OUTCOME_TRY(
        Role, valueOfName<EngineRole>(RoleNames,
                                      Json.value("role", std::string("both"))));
    Command.Role = Role;
    return Command;
  });
}

Result<std::vector<CacheEvent>> cacheEventsOfJson(const nlohmann::json &Json) {
  using Events = std::vector<CacheEvent>;
  return detail::guardedParse<Events>([&]() -> Result<Events> {
    Events Parsed;
    for (const auto &Entry : Json.at("events"))
      Parsed.push_back({Entry.at("sequence").get<std::uint64_t>(),
                        Entry.at("block").get<PrefixHash>(),
                        Entry.at("is_stored").get<bool>()});
    return Parsed;
  });
}

Result<CacheSnapshot> cacheSnapshotOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<CacheSnapshot>([&]() -> Result<CacheSnapshot> {
    CacheSnapshot Snapshot;
    Snapshot.Sequence = Json.at("sequence").get<std::uint64_t>();
    Snapshot.Blocks = Json.at("blocks").get<std::vector<PrefixHash>>();
    return Snapshot;
  });
}

} // namespace bergamothook
