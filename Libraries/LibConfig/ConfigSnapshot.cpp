#include "LibConfig/ConfigSnapshot.h"

namespace bergamothook {

namespace {

template <typename Table, typename Key>
auto findShared(const Table &Known, const Key &Name) {
  const auto *Found = Known.find(Name);
  return Found ? Found->get() : nullptr;
}

} // namespace

const TokenOwner *
ConfigSnapshot::ownerOfToken(std::string_view BearerToken) const {
  return BearerToken.empty() ? nullptr
                             : this->Tables->Tokens.find(sha256(BearerToken));
}

const EffectiveTeam *
ConfigSnapshot::teamOfToken(std::string_view BearerToken) const {
  const TokenOwner *Owner = this->ownerOfToken(BearerToken);
  return Owner && !Owner->IsOperator ? this->team(Owner->Team) : nullptr;
}

const EffectiveTeam *ConfigSnapshot::team(TeamId Team) const {
  return findShared(this->Tables->Teams, Team);
}

const EffectiveTeam *ConfigSnapshot::teamNamed(std::string_view Name) const {
  return this->team(idOfName<TeamId>(Name));
}

const EffectiveService *ConfigSnapshot::service(const std::string &Name) const {
  return findShared(this->Tables->Services, Name);
}

const EffectiveOperator *
ConfigSnapshot::operatorOfToken(std::string_view BearerToken) const {
  const TokenOwner *Owner = this->ownerOfToken(BearerToken);
  return Owner && Owner->IsOperator
             ? findShared(this->Tables->Operators, Owner->Operator)
             : nullptr;
}

} // namespace bergamothook
