/// \file
/// Authorizes access to the operators' interface.

#ifndef BERGAMOTHOOK_LIBCONFIG_OPERATORAUTHORIZER_H
#define BERGAMOTHOOK_LIBCONFIG_OPERATORAUTHORIZER_H

#include "LibBase/Result.h"
#include "LibConfig/ConfigError.h"
#include "LibConfig/ConfigSnapshot.h"

namespace bergamothook {

/// Looks up operators in the configuration and in the process settings. The
/// latter are used to start a fleet that has no configuration yet.
class OperatorAuthorizer {
public:
  explicit OperatorAuthorizer(std::vector<EffectiveOperator> FromSettings);

  /// \returns the operator's name if \p BearerToken belongs to an operator with
  /// the role \p RequiredRole; ConfigError::NotAuthenticated for an unknown
  /// token, ConfigError::NotPermitted without the role.
  Result<std::string> authorize(const ConfigSnapshot &Config,
                                std::string_view BearerToken,
                                OperatorRole RequiredRole) const;

private:
  std::unordered_map<Sha256, EffectiveOperator> FromSettings;
};

} // namespace bergamothook

#endif
