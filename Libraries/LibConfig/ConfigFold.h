/// \file
/// The configuration state derived from the changes on the log. It is the same
/// on every host.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGFOLD_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGFOLD_H

#include "LibConfig/ConfigChange.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibConfig/TemplateResolver.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace bergamothook {

/// The maximum age of a base revision, in revisions. A change with an older
/// base is rejected, so that conflicts and duplicates can be detected with
/// bounded state.
constexpr std::uint64_t ConfigLookBackRevisions = 8192;

/// The outcome of a change.
struct ConfigVerdict {
  bool IsAccepted = false;
  /// The revision created by the change, or the current one when it was
  /// rejected.
  Revision At;
  /// The reason for a rejection.
  std::optional<ConfigProblem> Problem;
};

/// One object before and after a change, as JSON; empty if there is no object.
struct ObjectTransition {
  ObjectKey Object;
  std::string From;
  std::string To;
};

/// An accepted change, for history, rollback and audit.
struct HistoryEntry {
  RecordId Change;
  Revision At;
  RecordPosition Position;
  std::string Author;
  WallTime Time{};
  std::string Comment;
  std::vector<ObjectTransition> Objects;
};

/// The memory used by \p Entry, in bytes.
std::size_t bytesOf(const HistoryEntry &Entry);

/// The effect that a change would have.
struct ChangePreview {
  std::vector<ObjectTransition> Objects;
  /// The teams whose effective settings would change.
  std::vector<std::string> AffectedTeams;
};

/// Applies changes in log order. A change is accepted if its base is at most
/// ConfigLookBackRevisions old, none of its objects was changed after its base,
/// and the resulting configuration is valid. Rejected changes and duplicates
/// have no effect.
class ConfigFold {
public:
  /// Applies the next record of the stream. \returns nothing for a record of
  /// another kind, which is ignored.
  std::optional<ConfigVerdict> apply(const StreamRecord &Record,
                                     RecordPosition Position);

  /// Validates \p Change against the current state. \returns the effect that it
  /// would have, or the reason why it would be rejected.
  ConfigResult<ChangePreview> preview(const ConfigChange &Change) const;

  /// \returns the outcome of the change \p Id, or nothing if it is unknown or
  /// no longer retained.
  std::optional<ConfigVerdict> verdictOf(RecordId Id) const;

  Revision revision() const { return this->Tables.At; }

  /// The current configuration. Cheap, since copies share unchanged data.
  ConfigSnapshot snapshot() const { return ConfigSnapshot(this->Tables); }

  /// The accepted changes that are still retained, oldest first.
  const std::deque<HistoryEntry> &history() const { return this->History; }

  /// Computes the edits that restore every object to its state at \p Target.
  /// \returns ConfigError::HistoryExpired if the history does not cover it.
  ConfigResult<std::vector<ConfigEdit>> editsBackTo(Revision Target) const;

  /// The JSON of an object; nothing if it does not exist.
  std::optional<nlohmann::json> object(const ObjectKey &Name) const;
  std::vector<ObjectKey> objectNames() const;

  /// Resolves the team \p Name with the source of every value.
  ConfigResult<ResolvedSettings> explain(const std::string &Name) const;

  /// Digest of all changes applied so far and their outcomes. It is the same on
  /// all hosts at the same position.
  Hash128 digest() const { return this->Digest; }

  /// Encodes the complete state, for a host that is starting.
  std::string encode() const;

  /// Decodes the output of encode().
  static ConfigResult<ConfigFold> decode(std::string_view Bytes);

private:
  struct StoredObject {
    std::string Json;
    Revision ChangedAt;
  };

  /// The objects affected by a change, before the change is committed.
  struct StagedChange {
    /// The edited objects; null for removed ones.
    std::map<ObjectKey, nlohmann::json> Edited;
    /// Unedited objects of the fold that were parsed during validation.
    std::map<ObjectKey, nlohmann::json> Parsed;
    std::map<Sha256, TokenOwner> Tokens;
    std::vector<std::shared_ptr<const EffectiveTeam>> Teams;
    std::vector<std::shared_ptr<const EffectiveService>> Services;
    std::vector<std::shared_ptr<const EffectiveOperator>> Operators;

    /// \returns an object as it would be after the change, or null.
    const nlohmann::json *find(const ConfigFold &Fold, const ObjectKey &Name);
    ObjectLookup lookup(const ConfigFold &Fold);
  };

  ConfigResult<StagedChange> check(const ConfigChange &Change) const;
  ConfigResult<void> checkBase(const ConfigChange &Change) const;
  ConfigResult<void> checkConflict(const ConfigChange &Change) const;
  ConfigResult<void> resolveObject(StagedChange &Staged,
                                   const ObjectKey &Name) const;
  ConfigResult<void> resolveTeam(StagedChange &Staged,
                                 const ObjectKey &Name) const;
  ConfigResult<void> claimTokens(StagedChange &Staged, const ObjectKey &Name,
                                 const std::vector<Sha256> &Keys,
                                 const TokenOwner &Owner) const;
  std::set<ObjectKey> affectedBy(const ConfigChange &Change) const;
  void commit(const ConfigChange &Change, StagedChange Staged,
              RecordPosition Position);
  void updateTables(const StagedChange &Staged);
  void commitObject(const ConfigEdit &Edit, StagedChange &Staged);
  void dropTokens(const ObjectKey &Name);
  void recordVerdict(const ConfigChange &Change, const ConfigVerdict &Verdict);
  void dropExpired();
  ConfigResult<void> rebuildTables();

  std::map<ObjectKey, StoredObject> Objects;
  /// The revisions at which objects were removed.
  std::map<ObjectKey, Revision> RemovedAt;
  /// The objects that refer to each template.
  std::map<std::string, std::set<ObjectKey>> Dependents;
  std::unordered_map<RecordId, ConfigVerdict> Verdicts;
  /// The changes by base revision, since verdicts expire in this order.
  std::multimap<Revision, RecordId> ByBase;
  ConfigTables Tables;
  std::deque<HistoryEntry> History;
  std::size_t HistoryBytes = 0;
  Hash128 Digest;
};

} // namespace bergamothook

#endif
