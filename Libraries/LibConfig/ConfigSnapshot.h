/// \file
/// An immutable view of the configuration at one revision.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOT_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOT_H

#include "LibConfig/EffectiveService.h"
#include "LibConfig/EffectiveTeam.h"
#include "LibConfig/ShardedTable.h"

#include <string_view>

namespace bergamothook {

/// The owner of a token.
struct TokenOwner {
  bool IsOperator = false;
  TeamId Team;
  std::string Operator;

  bool operator==(const TokenOwner &) const = default;
};

/// The lookup tables of one revision.
struct ConfigTables {
  Revision At;
  ShardedTable<TeamId, std::shared_ptr<const EffectiveTeam>> Teams;
  ShardedTable<std::string, std::shared_ptr<const EffectiveService>> Services;
  ShardedTable<std::string, std::shared_ptr<const EffectiveOperator>> Operators;
  ShardedTable<Sha256, TokenOwner> Tokens;
};

/// An immutable handle to one revision. A request holds one for its lifetime,
/// so that it sees a single revision regardless of changes published meanwhile.
/// Copies are cheap and may be used by any thread. Pointers returned by lookups
/// are valid for the lifetime of the handle.
class ConfigSnapshot {
public:
  /// The empty configuration of revision 0.
  ConfigSnapshot() : Tables(std::make_shared<const ConfigTables>()) {}
  explicit ConfigSnapshot(ConfigTables Tables)
      : Tables(std::make_shared<const ConfigTables>(std::move(Tables))) {}

  Revision revision() const { return this->Tables->At; }

  /// Finds the team that \p BearerToken belongs to, in constant time. \returns
  /// null for an unknown token and for an operator's token.
  const EffectiveTeam *teamOfToken(std::string_view BearerToken) const;

  const EffectiveTeam *team(TeamId Team) const;
  const EffectiveTeam *teamNamed(std::string_view Name) const;
  const EffectiveService *service(const std::string &Name) const;

  /// Finds the operator that \p BearerToken belongs to. \returns null for an
  /// unknown token and for a team's token.
  const EffectiveOperator *operatorOfToken(std::string_view BearerToken) const;

  const ConfigTables &tables() const { return *this->Tables; }

private:
  /// \returns the owner of a token; null for the empty one, which requests
  /// without a token have.
  const TokenOwner *ownerOfToken(std::string_view BearerToken) const;

  std::shared_ptr<const ConfigTables> Tables;
};

} // namespace bergamothook

#endif
