#include "LibConfig/ConfigChange.h"

#include <set>

namespace bergamothook {

using nlohmann::json;

namespace {

constexpr int MaxNesting = 16;
constexpr std::size_t MaxAuthorBytes = 128;
constexpr std::size_t MaxCommentBytes = 1024;

ConfigProblem malformed(std::string Pointer, std::string Allowed) {
  return {
      ConfigError::Malformed, {}, std::move(Pointer), {}, std::move(Allowed)};
}

std::optional<std::uint64_t> unsignedField(const json &Object,
                                           const char *Field) {
  auto Known = Object.find(Field);
  if (Known == Object.end() || !Known->is_number_unsigned())
    return std::nullopt;
  return Known->get<std::uint64_t>();
}

std::optional<std::string> stringField(const json &Object, const char *Field,
                                       std::size_t MaxBytes) {
  auto Known = Object.find(Field);
  if (Known == Object.end() || !Known->is_string())
    return std::nullopt;
  auto Text = Known->get<std::string>();
  if (Text.size() > MaxBytes)
    return std::nullopt;
  return Text;
}

ConfigResult<ConfigEdit> readEdit(const std::string &Name, const json &Value,
                                  const std::string &Pointer) {
  auto Key = parseObjectKey(Name);
  if (!Key)
    return malformed(Pointer, "template/, team/, service/ or operator/ and a "
                              "name of 1 to 64 letters, digits, . _ -");
  if (Value.is_null())
    return ConfigEdit{std::move(*Key), std::nullopt};
  if (!Value.is_object())
    return malformed(Pointer, "an object or null");
  return ConfigEdit{std::move(*Key), Value};
}

ConfigResult<std::vector<ConfigEdit>> readEdits(const json &Object) {
  if (!Object.is_object() || Object.empty())
    return malformed("/edits", "an object with an entry for each edit");
  if (Object.size() > MaxEditsPerChange)
    return ConfigProblem{ConfigError::TooLarge,
                         {},
                         "/edits",
                         std::to_string(Object.size()),
                         "at most " + std::to_string(MaxEditsPerChange)};
  std::vector<ConfigEdit> Edits;
  for (const auto &[Name, Value] : Object.items()) {
    BOOST_OUTCOME_TRY(Edit, readEdit(Name, Value, "/edits/" + Name));
    Edits.push_back(std::move(Edit));
  }
  return Edits;
}

} // namespace

std::optional<json> parseBoundedJson(std::string_view Text) {
  bool IsTooDeep = false;
  auto LimitDepth = [&](int Depth, json::parse_event_t, json &) {
    IsTooDeep |= Depth > MaxNesting;
    return !IsTooDeep;
  };
  // Limits the nesting before parsing, since the memory use of the parser grows
  // with the number of open brackets.
  int Depth = 0;
  for (char Character : Text) {
    Depth += Character == '[' || Character == '{';
    Depth -= Character == ']' || Character == '}';
    if (Depth > 4 * MaxNesting)
      return std::nullopt;
  }
  json Parsed = json::parse(Text, LimitDepth, false);
  if (Parsed.is_discarded() || IsTooDeep)
    return std::nullopt;
  return Parsed;
}

std::string encodeChange(const ConfigChange &Change) {
  json Edits = json::object();
  for (const auto &Edit : Change.Edits)
    Edits[toString(Edit.Object)] = Edit.Value ? *Edit.Value : json();
  json Body = {{"rules", Change.Rules},
               {"base", Change.Base.Value},
               {"author", Change.Author},
               {"timeMilliseconds", Change.Time.time_since_epoch().count()},
               {"comment", Change.Comment},
               {"edits", std::move(Edits)}};
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

ConfigResult<ConfigChange> decodeChange(RecordId Id, std::string_view Body) {
  if (Body.size() > MaxChangeBytes)
    return ConfigProblem{ConfigError::TooLarge,
                         {},
                         "",
                         std::to_string(Body.size()),
                         "at most " + std::to_string(MaxChangeBytes) +
                             " bytes"};
  auto Parsed = parseBoundedJson(Body);
  if (!Parsed || !Parsed->is_object())
    return malformed("", "a JSON object");
  auto Rules = unsignedField(*Parsed, "rules");
  auto Base = unsignedField(*Parsed, "base");
  auto Time = unsignedField(*Parsed, "timeMilliseconds");
  auto Author = stringField(*Parsed, "author", MaxAuthorBytes);
  auto Comment = stringField(*Parsed, "comment", MaxCommentBytes);
  if (!Rules || !Base || !Time || !Author || !Comment)
    return malformed("", "rules, base, timeMilliseconds, author, comment");
  if (*Rules != ConfigRules)
    return ConfigProblem{ConfigError::UnknownRules,
                         {},
                         "/rules",
                         std::to_string(*Rules),
                         std::to_string(ConfigRules)};
  BOOST_OUTCOME_TRY(Edits, readEdits(Parsed->value("edits", json())));
  // The time is for display only, so a value that would overflow the clock's
  // type is clamped.
  constexpr std::uint64_t MaxTimeMilliseconds = 1ULL << 50;
  return ConfigChange{
      Id,
      static_cast<std::uint32_t>(*Rules),
      Revision{*Base},
      std::move(*Author),
      WallTime(std::chrono::milliseconds(std::min(*Time, MaxTimeMilliseconds))),
      std::move(*Comment),
      std::move(Edits)};
}

StreamRecord recordOfChange(const ConfigChange &Change, Incarnation Writer) {
  return {Change.Id, Writer, ConfigChangeKind, encodeChange(Change)};
}

ConfigResult<std::vector<ConfigEdit>> parseEdits(std::string_view Text) {
  if (Text.size() > MaxChangeBytes)
    return ConfigProblem{ConfigError::TooLarge,
                         {},
                         "",
                         std::to_string(Text.size()),
                         std::to_string(MaxChangeBytes) + " bytes"};
  auto Parsed = parseBoundedJson(Text);
  if (!Parsed)
    return malformed("", "JSON");
  return readEdits(*Parsed);
}

} // namespace bergamothook
