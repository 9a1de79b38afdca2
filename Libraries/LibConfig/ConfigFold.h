/// \file
/// The state that follows from the changes on the log, the same on every host.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGFOLD_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGFOLD_H

#include "LibConfig/ConfigChange.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibConfig/TemplateResolver.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace bergamothook {

/// How many revisions the fold looks back. A change with an older base is
/// refused, so that conflicts and second copies can be told with bounded state.
constexpr std::uint64_t ConfigLookBackRevisions = 8192;

/// What became of a change.
struct ConfigVerdict {
  bool IsAccepted = false;
  /// The revision made by the change, or the one in force when it was refused.
  Revision At;
  /// Why it was refused.
  std::optional<ConfigProblem> Problem;
};

/// One object before and after a change, as JSON; empty text for no object.
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

/// The memory that \p Entry takes, in bytes.
std::size_t bytesOf(const HistoryEntry &Entry);

/// What a change would do, without doing it.
struct ChangePreview {
  std::vector<ObjectTransition> Objects;
  /// The teams whose effective settings would change.
  std::vector<std::string> AffectedTeams;
};

/// Folds changes in the order of the log. A change is accepted when its base is
/// within the look-back, no object that it names was changed after its base,
/// and the whole configuration is valid after it. A refused change has no
/// effect; a second copy of any change has none either.
class ConfigFold {
public:
  /// Applies the next record of the stream. Records of another kind are
  /// ignored: they give no verdict.
  std::optional<ConfigVerdict> apply(const StreamRecord &Record,
                                     RecordPosition Position);

  /// Tells whether \p Change would be accepted now, and what it would do.
  ConfigResult<ChangePreview> preview(const ConfigChange &Change) const;

  /// What became of the change \p Id; nothing if it was not seen, or too long
  /// ago.
  std::optional<ConfigVerdict> verdictOf(RecordId Id) const;

  Revision revision() const { return this->Tables.At; }

  /// The configuration in force. Cheap: copies share what is the same.
  ConfigSnapshot snapshot() const { return ConfigSnapshot(this->Tables); }

  /// The accepted changes that are still kept, oldest first.
  const std::deque<HistoryEntry> &history() const { return this->History; }

  /// Makes the edits that bring every object back to its state at \p Target.
  /// ConfigError::HistoryGone if that is too long ago.
  ConfigResult<std::vector<ConfigEdit>> editsBackTo(Revision Target) const;

  /// The JSON of an object; nothing if there is none.
  std::optional<nlohmann::json> object(const ObjectKey &Name) const;
  std::vector<ObjectKey> objectNames() const;

  /// Resolves the team \p Name with the source of every value.
  ConfigResult<ResolvedSettings> explain(const std::string &Name) const;

  /// Digest of all that the fold's decisions rest on. Two hosts that have
  /// folded up to the same position have the same digest.
  Hash128 digest() const { return this->Digest; }

  /// Writes the whole state, for a host that starts.
  std::string encode() const;

  /// Reads what encode() wrote.
  static ConfigResult<ConfigFold> decode(std::string_view Bytes);

private:
  struct StoredObject {
    std::string Json;
    Revision ChangedAt;
  };

  /// What a change makes of the objects that it touches, before it is accepted.
  struct Draft {
    /// The edited objects; null for removed ones.
    std::map<ObjectKey, nlohmann::json> Edited;
    /// Objects of the fold that the check had to parse.
    std::map<ObjectKey, nlohmann::json> Parsed;
    std::map<Sha256, TokenOwner> Tokens;
    std::vector<std::shared_ptr<const EffectiveTeam>> Teams;
    std::vector<std::shared_ptr<const EffectiveService>> Services;
    std::vector<std::shared_ptr<const EffectiveOperator>> Operators;

    /// Gives an object as it would be after the change, or null.
    const nlohmann::json *find(const ConfigFold &Fold, const ObjectKey &Name);
    ObjectLookup lookup(const ConfigFold &Fold);
  };

  ConfigResult<Draft> check(const ConfigChange &Change) const;
  ConfigResult<void> checkBase(const ConfigChange &Change) const;
  ConfigResult<void> checkConflict(const ConfigChange &Change) const;
  ConfigResult<void> resolveObject(Draft &Made, const ObjectKey &Name) const;
  ConfigResult<void> resolveTeam(Draft &Made, const ObjectKey &Name) const;
  ConfigResult<void> claimTokens(Draft &Made, const ObjectKey &Name,
                                 const std::vector<Sha256> &Keys,
                                 const TokenOwner &Owner) const;
  std::set<ObjectKey> affectedBy(const ConfigChange &Change) const;
  void commit(const ConfigChange &Change, Draft Made, RecordPosition Position);
  void putTables(const Draft &Made);
  void commitObject(const ConfigEdit &Edit, Draft &Made);
  void dropTokens(const ObjectKey &Name);
  void remember(const ConfigChange &Change, const ConfigVerdict &Verdict);
  void forgetOld();
  ConfigResult<void> rebuildTables();

  std::map<ObjectKey, StoredObject> Objects;
  /// When objects that no longer exist were removed.
  std::map<ObjectKey, Revision> Removed;
  /// The objects that refer to each template.
  std::map<std::string, std::set<ObjectKey>> Users;
  std::unordered_map<RecordId, ConfigVerdict> Verdicts;
  /// The changes by their base, since the oldest bases are forgotten first.
  std::multimap<Revision, RecordId> ByBase;
  ConfigTables Tables;
  std::deque<HistoryEntry> History;
  std::size_t HistoryBytes = 0;
  Hash128 Digest;
};

} // namespace bergamothook

#endif
