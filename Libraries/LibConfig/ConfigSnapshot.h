/// \file
/// The configuration at one revision, as requests use it.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOT_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOT_H

#include "LibConfig/EffectiveService.h"
#include "LibConfig/EffectiveTeam.h"
#include "LibConfig/ShardedTable.h"

#include <string_view>

namespace bergamothook {

/// Says who a token belongs to.
struct TokenOwner {
  bool IsOperator = false;
  TeamId Team;
  std::string Operator;

  bool operator==(const TokenOwner &) const = default;
};

/// The tables of one revision.
struct ConfigTables {
  Revision At;
  ShardedTable<TeamId, std::shared_ptr<const EffectiveTeam>> Teams;
  ShardedTable<std::string, std::shared_ptr<const EffectiveService>> Services;
  ShardedTable<std::string, std::shared_ptr<const EffectiveOperator>> Operators;
  ShardedTable<Sha256, TokenOwner> Tokens;
};

/// An immutable handle of one revision. A request takes one at its start and
/// keeps it to its end, so that it sees one revision whatever is published
/// meanwhile. Copies are cheap, and any thread may use them. Results of a
/// lookup stay valid for as long as the handle.
class ConfigSnapshot {
public:
  /// The empty configuration of revision 0.
  ConfigSnapshot() : Tables(std::make_shared<const ConfigTables>()) {}
  explicit ConfigSnapshot(ConfigTables Tables)
      : Tables(std::make_shared<const ConfigTables>(std::move(Tables))) {}

  Revision revision() const { return this->Tables->At; }

  /// Finds the team whose callers show \p BearerToken, in constant time.
  /// \returns null for a stranger.
  const EffectiveTeam *teamOfToken(std::string_view BearerToken) const;

  const EffectiveTeam *team(TeamId Team) const;
  const EffectiveTeam *teamNamed(std::string_view Name) const;
  const EffectiveService *service(const std::string &Name) const;

  /// Finds the operator that shows \p BearerToken. \returns null for a
  /// stranger, and for a team's token.
  const EffectiveOperator *operatorOfToken(std::string_view BearerToken) const;

  const ConfigTables &tables() const { return *this->Tables; }

private:
  std::shared_ptr<const ConfigTables> Tables;
};

} // namespace bergamothook

#endif
