/// \file
/// What is in force for one plain service, and for one operator.

#ifndef BERGAMOTHOOK_LIBCONFIG_EFFECTIVESERVICE_H
#define BERGAMOTHOOK_LIBCONFIG_EFFECTIVESERVICE_H

#include "LibConfig/Sha256.h"

#include <string>
#include <string_view>
#include <vector>

namespace bergamothook {

/// Says of some calls of a service whether they may be repeated.
struct CallRule {
  /// The method, or "*" for every method.
  std::string Method;
  std::string PathPrefix;
  bool IsRepeatable = false;
};

/// A plain service. A call without a rule may not be repeated.
struct EffectiveService {
  std::string Name;
  /// The first rule that fits a call counts.
  std::vector<CallRule> Rules;

  bool isRepeatable(std::string_view Method, std::string_view Path) const;
};

/// What an operator may do.
enum class OperatorRole : std::uint8_t { Read, Publish, Settle };

constexpr std::size_t OperatorRoleCount = 3;

/// An operator. Its tokens are known by their hashes only.
struct EffectiveOperator {
  std::string Name;
  std::vector<OperatorRole> Roles;
  std::vector<Sha256> Keys;

  bool hasRole(OperatorRole Role) const;
};

} // namespace bergamothook

#endif
