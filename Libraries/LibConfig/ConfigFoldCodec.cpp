/// \file
/// Encodes and decodes the complete state of a ConfigFold.

#include "LibConfig/ConfigFold.h"

#include "LibConfig/TeamReader.h"

namespace bergamothook {

using nlohmann::json;

namespace {

constexpr int StateFormat = 1;

json writeId(const Hash128 &Id) { return json::array({Id.High, Id.Low}); }

Hash128 readId(const json &Value) {
  return {Value.at(0).get<std::uint64_t>(), Value.at(1).get<std::uint64_t>()};
}

ObjectKey readKey(const json &Value) {
  auto Key = parseObjectKey(Value.get<std::string>());
  if (!Key)
    throw json::other_error::create(500, "not an object name", nullptr);
  return *Key;
}

json writeVerdict(RecordId Id, Revision Base, const ConfigVerdict &Verdict) {
  json Entry = {writeId(Id), Base.Value, Verdict.IsAccepted, Verdict.At.Value};
  if (Verdict.Problem) {
    const ConfigProblem &Problem = *Verdict.Problem;
    Entry.push_back(static_cast<int>(Problem.Error));
    Entry.push_back(static_cast<int>(Problem.Object.Kind));
    Entry.push_back(Problem.Object.Name);
    Entry.push_back(Problem.Pointer);
    Entry.push_back(Problem.Found);
    Entry.push_back(Problem.Allowed);
  }
  return Entry;
}

ConfigVerdict readVerdict(const json &Entry) {
  ConfigVerdict Verdict{Entry.at(2), Revision{Entry.at(3)}, std::nullopt};
  if (Entry.size() > 4)
    Verdict.Problem = ConfigProblem{
        static_cast<ConfigError>(Entry.at(4).get<int>()),
        {static_cast<ObjectKind>(Entry.at(5).get<int>() & 3), Entry.at(6)},
        Entry.at(7),
        Entry.at(8),
        Entry.at(9)};
  return Verdict;
}

json writeHistory(const HistoryEntry &Entry) {
  json Objects = json::array();
  for (const auto &Object : Entry.Objects)
    Objects.push_back({toString(Object.Object), Object.From, Object.To});
  return {writeId(Entry.Change),
          Entry.At.Value,
          Entry.Position.At.Value,
          Entry.Position.Index,
          Entry.Author,
          Entry.Time.time_since_epoch().count(),
          Entry.Comment,
          std::move(Objects)};
}

HistoryEntry readHistory(const json &Value) {
  HistoryEntry Entry;
  Entry.Change = readId(Value.at(0));
  Entry.At = Revision{Value.at(1)};
  Entry.Position = {Offset{Value.at(2)}, Value.at(3)};
  Entry.Author = Value.at(4);
  Entry.Time =
      WallTime(std::chrono::milliseconds(Value.at(5).get<std::int64_t>()));
  Entry.Comment = Value.at(6);
  for (const auto &Object : Value.at(7))
    Entry.Objects.push_back(
        {readKey(Object.at(0)), Object.at(1), Object.at(2)});
  return Entry;
}

} // namespace

std::string ConfigFold::encode() const {
  json State = {
      {"format", StateFormat},           {"revision", this->Tables.At.Value},
      {"digest", writeId(this->Digest)}, {"objects", json::array()},
      {"removed", json::array()},        {"verdicts", json::array()},
      {"history", json::array()}};
  for (const auto &[Name, Stored] : this->Objects)
    State["objects"].push_back(
        {toString(Name), Stored.Json, Stored.ChangedAt.Value});
  for (const auto &[Name, At] : this->RemovedAt)
    State["removed"].push_back({toString(Name), At.Value});
  for (const auto &[Base, Id] : this->ByBase)
    State["verdicts"].push_back(writeVerdict(Id, Base, this->Verdicts.at(Id)));
  for (const auto &Entry : this->History)
    State["history"].push_back(writeHistory(Entry));
  std::string Bytes;
  json::to_cbor(State, Bytes);
  return Bytes;
}

ConfigResult<ConfigFold> ConfigFold::decode(std::string_view Bytes) {
  ConfigProblem Rejection{ConfigError::Malformed,
                          {},
                          "",
                          "",
                          "a state in the format of this release"};
  ConfigFold Fold;
  try {
    // Excessive lengths throw even though exceptions are disabled in the
    // parser.
    json State = json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
    if (!State.is_object() || State.value("format", json()) != StateFormat)
      return Rejection;
    Fold.Tables.At = Revision{State.at("revision")};
    Fold.Digest = readId(State.at("digest"));
    for (const auto &Entry : State.at("objects"))
      Fold.Objects[readKey(Entry.at(0))] = {Entry.at(1), Revision{Entry.at(2)}};
    for (const auto &Entry : State.at("removed"))
      Fold.RemovedAt[readKey(Entry.at(0))] = Revision{Entry.at(1)};
    for (const auto &Entry : State.at("verdicts")) {
      RecordId Id = readId(Entry.at(0));
      if (Fold.Verdicts.emplace(Id, readVerdict(Entry)).second)
        Fold.ByBase.emplace(Revision{Entry.at(1)}, Id);
    }
    for (const auto &Entry : State.at("history"))
      Fold.History.push_back(readHistory(Entry));
  } catch (const json::exception &) {
    return Rejection;
  }
  BOOST_OUTCOME_TRYV(Fold.rebuildTables());
  Fold.dropExpired();
  return Fold;
}

ConfigResult<void> ConfigFold::rebuildTables() {
  StagedChange Staged;
  for (const auto &[Name, Stored] : this->Objects) {
    json Value = json::parse(Stored.Json, nullptr, false);
    if (!Value.is_object())
      return ConfigProblem{ConfigError::Malformed, Name, "", "", "an object"};
    Staged.Edited.emplace(Name, std::move(Value));
  }
  for (const auto &[Name, Stored] : this->Objects) {
    BOOST_OUTCOME_TRYV(this->resolveObject(Staged, Name));
  }
  for (const auto &[Name, Value] : Staged.Edited)
    this->Dependents[templateOf(Name, Value)].insert(Name);
  this->updateTables(Staged);
  for (const auto &Entry : this->History)
    this->HistoryBytes += bytesOf(Entry);
  return success();
}

} // namespace bergamothook
