/// \file
/// Decides who may use the operators' interface, and for what.

#ifndef BERGAMOTHOOK_LIBCONFIG_OPERATORAUTHORITY_H
#define BERGAMOTHOOK_LIBCONFIG_OPERATORAUTHORITY_H

#include "LibBase/Result.h"
#include "LibConfig/ConfigError.h"
#include "LibConfig/ConfigSnapshot.h"

namespace bergamothook {

/// Knows the operators of the process settings, by which a fleet without any
/// configuration is started, and looks up those of the configuration.
class OperatorAuthority {
public:
  explicit OperatorAuthority(std::vector<EffectiveOperator> FromSettings);

  /// \returns the operator's name if \p BearerToken belongs to an operator with
  /// the role \p Needed; ConfigError::NotAuthenticated for a stranger,
  /// ConfigError::NotPermitted without the role.
  Result<std::string> authorize(const ConfigSnapshot &Config,
                                std::string_view BearerToken,
                                OperatorRole Needed) const;

private:
  std::unordered_map<Sha256, EffectiveOperator> FromSettings;
};

} // namespace bergamothook

#endif
