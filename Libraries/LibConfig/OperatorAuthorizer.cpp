#include "LibConfig/OperatorAuthorizer.h"

namespace bergamothook {

OperatorAuthorizer::OperatorAuthorizer(
    std::vector<EffectiveOperator> FromSettings) {
  for (auto &Entry : FromSettings)
    for (const auto &Key : Entry.Keys)
      this->FromSettings.emplace(Key, Entry);
}

Result<std::string>
OperatorAuthorizer::authorize(const ConfigSnapshot &Config,
                              std::string_view BearerToken,
                              OperatorRole RequiredRole) const {
  if (BearerToken.empty())
    return ConfigError::NotAuthenticated;
  const EffectiveOperator *Found = Config.operatorOfToken(BearerToken);
  if (!Found) {
    auto Entry = this->FromSettings.find(sha256(BearerToken));
    if (Entry == this->FromSettings.end())
      return ConfigError::NotAuthenticated;
    Found = &Entry->second;
  }
  if (!Found->hasRole(RequiredRole))
    return ConfigError::NotPermitted;
  return Found->Name;
}

} // namespace bergamothook
