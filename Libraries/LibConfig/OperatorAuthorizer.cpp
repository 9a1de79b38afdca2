#include "LibConfig/OperatorAuthority.h"

namespace bergamothook {

OperatorAuthority::OperatorAuthority(
    std::vector<EffectiveOperator> FromSettings) {
  for (auto &Known : FromSettings)
    for (const auto &Key : Known.Keys)
      this->FromSettings.emplace(Key, Known);
}

Result<std::string> OperatorAuthority::authorize(const ConfigSnapshot &Config,
                                                 std::string_view BearerToken,
                                                 OperatorRole Needed) const {
  const EffectiveOperator *Found = Config.operatorOfToken(BearerToken);
  if (!Found) {
    auto Known = this->FromSettings.find(sha256(BearerToken));
    if (Known == this->FromSettings.end())
      return ConfigError::NotAuthenticated;
    Found = &Known->second;
  }
  if (!Found->hasRole(Needed))
    return ConfigError::NotPermitted;
  return Found->Name;
}

} // namespace bergamothook
