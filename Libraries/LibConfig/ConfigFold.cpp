#include "LibConfig/ConfigFold.h"

#include "LibConfig/TeamReader.h"

#include <algorithm>

namespace bergamothook {

using nlohmann::json;

namespace {

constexpr std::size_t MaxHistoryBytes = 4 << 20;

std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<Sha256> keysOf(const json &Value) {
  std::vector<Sha256> Keys;
  for (const auto &Text : Value.value("keys", json::array()))
    if (auto Key = sha256FromHex(Text.get<std::string>()))
      Keys.push_back(*Key);
  return Keys;
}

} // namespace

std::size_t bytesOf(const HistoryEntry &Entry) {
  std::size_t Bytes =
      sizeof(Entry) + Entry.Author.size() + Entry.Comment.size();
  for (const auto &Object : Entry.Objects)
    Bytes += sizeof(Object) + Object.From.size() + Object.To.size();
  return Bytes;
}

const json *ConfigFold::StagedChange::find(const ConfigFold &Fold,
                                           const ObjectKey &Name) {
  if (auto Known = this->Edited.find(Name); Known != this->Edited.end())
    return Known->second.is_null() ? nullptr : &Known->second;
  if (auto Known = this->Parsed.find(Name); Known != this->Parsed.end())
    return &Known->second;
  auto Stored = Fold.Objects.find(Name);
  if (Stored == Fold.Objects.end())
    return nullptr;
  json Value = json::parse(Stored->second.Json, nullptr, false);
  return &this->Parsed.emplace(Name, std::move(Value)).first->second;
}

ObjectLookup ConfigFold::StagedChange::lookup(const ConfigFold &Fold) {
  return
      [this, &Fold](const ObjectKey &Name) { return this->find(Fold, Name); };
}

ConfigResult<void> ConfigFold::checkBase(const ConfigChange &Change) const {
  std::uint64_t CurrentRevision = this->Tables.At.Value;
  std::uint64_t Base = Change.Base.Value;
  std::string Allowed = "at most " + std::to_string(CurrentRevision);
  if (Base > CurrentRevision)
    return ConfigProblem{
        ConfigError::UnknownBase, {}, "/base", std::to_string(Base), Allowed};
  if (CurrentRevision - Base > ConfigLookBackRevisions)
    return ConfigProblem{
        ConfigError::StaleBase, {}, "/base", std::to_string(Base), Allowed};
  return success();
}

ConfigResult<void> ConfigFold::checkConflict(const ConfigChange &Change) const {
  for (const auto &Edit : Change.Edits) {
    auto Known = this->Objects.find(Edit.Object);
    auto Removal = this->RemovedAt.find(Edit.Object);
    Revision Changed;
    if (Known != this->Objects.end())
      Changed = Known->second.ChangedAt;
    else if (Removal != this->RemovedAt.end())
      Changed = Removal->second;
    else if (!Edit.Value)
      return ConfigProblem{ConfigError::UnknownObject, Edit.Object, "", "", ""};
    if (Changed > Change.Base)
      return ConfigProblem{ConfigError::Conflict, Edit.Object, "",
                           "revision " + std::to_string(Changed.Value),
                           "at most " + std::to_string(Change.Base.Value)};
    if (Known == this->Objects.end() && !Edit.Value)
      return ConfigProblem{ConfigError::UnknownObject, Edit.Object, "", "", ""};
  }
  return success();
}

std::set<ObjectKey> ConfigFold::affectedBy(const ConfigChange &Change) const {
  std::set<ObjectKey> Affected;
  std::vector<ObjectKey> Worklist;
  for (const auto &Edit : Change.Edits)
    Worklist.push_back(Edit.Object);
  while (!Worklist.empty()) {
    ObjectKey Name = std::move(Worklist.back());
    Worklist.pop_back();
    if (!Affected.insert(Name).second || Name.Kind != ObjectKind::Template)
      continue;
    auto Known = this->Dependents.find(Name.Name);
    if (Known != this->Dependents.end())
      Worklist.insert(Worklist.end(), Known->second.begin(),
                      Known->second.end());
  }
  return Affected;
}

ConfigResult<void> ConfigFold::claimTokens(StagedChange &Staged,
                                           const ObjectKey &Name,
                                           const std::vector<Sha256> &Keys,
                                           const TokenOwner &Owner) const {
  auto Rejection = [&](const Sha256 &Key) {
    return ConfigProblem{ConfigError::DuplicateToken, Name, "/keys", toHex(Key),
                         "a hash that no other object has"};
  };
  for (const auto &Key : Keys) {
    if (!Staged.Tokens.emplace(Key, Owner).second)
      return Rejection(Key);
    const TokenOwner *Known = this->Tables.Tokens.find(Key);
    if (!Known || *Known == Owner)
      continue;
    // The token may be released by an edit of its owner in the same change.
    bool IsReleased = false;
    for (const auto &[Other, Value] : Staged.Edited) {
      bool IsOwner =
          Known->IsOperator
              ? Other == ObjectKey{ObjectKind::Operator, Known->Operator}
              : Other.Kind == ObjectKind::Team &&
                    idOfName<TeamId>(Other.Name) == Known->Team;
      IsReleased |= IsOwner;
    }
    if (!IsReleased)
      return Rejection(Key);
  }
  return success();
}

ConfigResult<void> ConfigFold::resolveTeam(StagedChange &Staged,
                                           const ObjectKey &Name) const {
  BOOST_OUTCOME_TRY(Resolved,
                    resolveSettings(Name, Staged.lookup(*this), false));
  BOOST_OUTCOME_TRY(Team, detail::readSettings(Name, Resolved.Settings));
  if (Name.Kind == ObjectKind::Template)
    return success();
  const json &Value = *Staged.find(*this, Name);
  Team.Team = idOfName<TeamId>(Name.Name);
  Team.Name = Name.Name;
  Team.Template = templateOf(Name, Value);
  Team.BearerKeys = keysOf(Value);
  if (Team.Budget.Account.empty())
    Team.Budget.Account = Name.Name;
  if (Staged.Edited.contains(Name)) {
    BOOST_OUTCOME_TRYV(this->claimTokens(Staged, Name, Team.BearerKeys,
                                         {false, Team.Team, {}}));
  }
  Staged.Teams.push_back(
      std::make_shared<const EffectiveTeam>(std::move(Team)));
  return success();
}

ConfigResult<void> ConfigFold::resolveObject(StagedChange &Staged,
                                             const ObjectKey &Name) const {
  const json *Value = Staged.find(*this, Name);
  if (!Value)
    return success();
  if (Name.Kind == ObjectKind::Team || Name.Kind == ObjectKind::Template)
    return this->resolveTeam(Staged, Name);
  if (Name.Kind == ObjectKind::Service) {
    BOOST_OUTCOME_TRY(Service, detail::readService(Name, *Value));
    Staged.Services.push_back(
        std::make_shared<const EffectiveService>(std::move(Service)));
    return success();
  }
  BOOST_OUTCOME_TRY(Operator, detail::readOperator(Name, *Value));
  BOOST_OUTCOME_TRYV(
      this->claimTokens(Staged, Name, Operator.Keys, {true, {}, Name.Name}));
  Staged.Operators.push_back(
      std::make_shared<const EffectiveOperator>(std::move(Operator)));
  return success();
}

ConfigResult<ConfigFold::StagedChange>
ConfigFold::check(const ConfigChange &Change) const {
  BOOST_OUTCOME_TRYV(this->checkBase(Change));
  BOOST_OUTCOME_TRYV(this->checkConflict(Change));
  StagedChange Staged;
  for (const auto &Edit : Change.Edits)
    Staged.Edited[Edit.Object] = Edit.Value ? *Edit.Value : json();
  for (const auto &Name : this->affectedBy(Change)) {
    BOOST_OUTCOME_TRYV(this->resolveObject(Staged, Name));
  }
  return Staged;
}

ConfigResult<ChangePreview>
ConfigFold::preview(const ConfigChange &Change) const {
  BOOST_OUTCOME_TRY(Staged, this->check(Change));
  ChangePreview Preview;
  for (const auto &[Name, Value] : Staged.Edited) {
    auto Known = this->Objects.find(Name);
    Preview.Objects.push_back(
        {Name, Known == this->Objects.end() ? "" : Known->second.Json,
         Value.is_null() ? "" : dump(Value)});
  }
  for (const auto &Team : Staged.Teams)
    Preview.AffectedTeams.push_back(Team->Name);
  return Preview;
}

std::optional<ConfigVerdict> ConfigFold::apply(const StreamRecord &Record,
                                               RecordPosition Position) {
  if (Record.Kind != ConfigChangeKind)
    return std::nullopt;
  if (auto Known = this->Verdicts.find(Record.Id);
      Known != this->Verdicts.end())
    return Known->second;
  auto Change = decodeChange(Record.Id, Record.Body);
  // A malformed record has no base revision, and a duplicate of it has no
  // effect either, so its verdict need not be stored.
  if (!Change)
    return ConfigVerdict{false, this->Tables.At, Change.error()};
  auto Staged = this->check(Change.assume_value());
  if (!Staged) {
    ConfigVerdict Rejected{false, this->Tables.At, Staged.error()};
    this->recordVerdict(Change.assume_value(), Rejected);
    return Rejected;
  }
  this->commit(Change.assume_value(), std::move(Staged).assume_value(),
               Position);
  ConfigVerdict Accepted{true, this->Tables.At, std::nullopt};
  this->recordVerdict(Change.assume_value(), Accepted);
  this->dropExpired();
  return Accepted;
}

void ConfigFold::dropTokens(const ObjectKey &Name) {
  if (Name.Kind == ObjectKind::Team) {
    TeamId Team = idOfName<TeamId>(Name.Name);
    if (const auto *Known = this->Tables.Teams.find(Team))
      for (const auto &Key : (*Known)->BearerKeys)
        this->Tables.Tokens.erase(Key);
  }
  if (Name.Kind == ObjectKind::Operator)
    if (const auto *Known = this->Tables.Operators.find(Name.Name))
      for (const auto &Key : (*Known)->Keys)
        this->Tables.Tokens.erase(Key);
}

void ConfigFold::commitObject(const ConfigEdit &Edit, StagedChange &Staged) {
  const ObjectKey &Name = Edit.Object;
  if (auto Known = this->Objects.find(Name); Known != this->Objects.end()) {
    json OldValue = json::parse(Known->second.Json, nullptr, false);
    this->Dependents[templateOf(Name, OldValue)].erase(Name);
  }
  if (Edit.Value) {
    this->Objects[Name] = {dump(*Edit.Value), this->Tables.At};
    this->Dependents[templateOf(Name, Staged.Edited[Name])].insert(Name);
    this->RemovedAt.erase(Name);
    return;
  }
  this->Objects.erase(Name);
  this->RemovedAt[Name] = this->Tables.At;
  if (Name.Kind == ObjectKind::Team)
    this->Tables.Teams.erase(idOfName<TeamId>(Name.Name));
  if (Name.Kind == ObjectKind::Service)
    this->Tables.Services.erase(Name.Name);
  if (Name.Kind == ObjectKind::Operator)
    this->Tables.Operators.erase(Name.Name);
}

void ConfigFold::commit(const ConfigChange &Change, StagedChange Staged,
                        RecordPosition Position) {
  HistoryEntry Entry{Change.Id,      {}, Position, Change.Author, Change.Time,
                     Change.Comment, {}};
  this->Tables.At = Revision{this->Tables.At.Value + 1};
  Entry.At = this->Tables.At;
  for (const auto &Edit : Change.Edits) {
    auto Known = this->Objects.find(Edit.Object);
    Entry.Objects.push_back(
        {Edit.Object, Known == this->Objects.end() ? "" : Known->second.Json,
         Edit.Value ? dump(*Edit.Value) : ""});
    this->dropTokens(Edit.Object);
  }
  for (const auto &Edit : Change.Edits)
    this->commitObject(Edit, Staged);
  this->updateTables(Staged);
  this->HistoryBytes += bytesOf(Entry);
  this->History.push_back(std::move(Entry));
}

void ConfigFold::updateTables(const StagedChange &Staged) {
  for (const auto &Team : Staged.Teams)
    this->Tables.Teams.put(Team->Team, Team);
  for (const auto &Service : Staged.Services)
    this->Tables.Services.put(Service->Name, Service);
  for (const auto &Operator : Staged.Operators)
    this->Tables.Operators.put(Operator->Name, Operator);
  for (const auto &[Key, Owner] : Staged.Tokens)
    this->Tables.Tokens.put(Key, Owner);
}

void ConfigFold::recordVerdict(const ConfigChange &Change,
                               const ConfigVerdict &Verdict) {
  this->Verdicts.emplace(Change.Id, Verdict);
  this->ByBase.emplace(Change.Base, Change.Id);
  // The digest covers every change and its outcome.
  std::string DigestInput = toHex(this->Digest) + toHex(Change.Id) +
                            (Verdict.IsAccepted ? "+" : "-") +
                            std::to_string(Verdict.At.Value);
  this->Digest = hash128(DigestInput);
}

void ConfigFold::dropExpired() {
  while (this->HistoryBytes > MaxHistoryBytes && this->History.size() > 1) {
    this->HistoryBytes -= bytesOf(this->History.front());
    this->History.pop_front();
  }
  if (this->Tables.At.Value <= ConfigLookBackRevisions)
    return;
  Revision OldestBase{this->Tables.At.Value - ConfigLookBackRevisions};
  while (!this->ByBase.empty() && this->ByBase.begin()->first < OldestBase) {
    this->Verdicts.erase(this->ByBase.begin()->second);
    this->ByBase.erase(this->ByBase.begin());
  }
  std::erase_if(this->RemovedAt, [&](const auto &Removal) {
    return Removal.second < OldestBase;
  });
}

std::optional<ConfigVerdict> ConfigFold::verdictOf(RecordId Id) const {
  auto Known = this->Verdicts.find(Id);
  if (Known == this->Verdicts.end())
    return std::nullopt;
  return Known->second;
}

std::optional<json> ConfigFold::object(const ObjectKey &Name) const {
  auto Known = this->Objects.find(Name);
  if (Known == this->Objects.end())
    return std::nullopt;
  return json::parse(Known->second.Json, nullptr, false);
}

std::vector<ObjectKey> ConfigFold::objectNames() const {
  std::vector<ObjectKey> Names;
  for (const auto &[Name, Stored] : this->Objects)
    Names.push_back(Name);
  return Names;
}

ConfigResult<ResolvedSettings>
ConfigFold::explain(const std::string &Name) const {
  StagedChange Unchanged;
  return resolveSettings({ObjectKind::Team, Name}, Unchanged.lookup(*this),
                         true);
}

ConfigResult<std::vector<ConfigEdit>>
ConfigFold::editsBackTo(Revision Target) const {
  ConfigProblem Expired{ConfigError::HistoryExpired,
                        {},
                        "",
                        std::to_string(Target.Value),
                        "up to " + std::to_string(this->Tables.At.Value)};
  Revision FirstRetained =
      this->History.empty() ? this->Tables.At : this->History.front().At;
  bool IsRetained =
      Target == this->Tables.At ||
      (!this->History.empty() && Target.Value + 1 >= FirstRetained.Value);
  if (Target > this->Tables.At || !IsRetained)
    return Expired;
  std::map<ObjectKey, std::string> OldValues;
  for (auto Entry = this->History.rbegin(); Entry != this->History.rend();
       ++Entry) {
    if (Entry->At <= Target)
      break;
    for (const auto &Object : Entry->Objects)
      OldValues[Object.Object] = Object.From;
  }
  std::vector<ConfigEdit> Edits;
  for (const auto &[Name, Json] : OldValues) {
    bool Exists = this->Objects.contains(Name);
    if (!Json.empty())
      Edits.push_back({Name, json::parse(Json, nullptr, false)});
    else if (Exists)
      Edits.push_back({Name, std::nullopt});
  }
  return Edits;
}

} // namespace bergamothook
