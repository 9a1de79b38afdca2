/// \file
/// The effective settings of one plain service and of one operator.

#ifndef BERGAMOTHOOK_LIBCONFIG_EFFECTIVESERVICE_H
#define BERGAMOTHOOK_LIBCONFIG_EFFECTIVESERVICE_H

#include "LibConfig/Sha256.h"

#include <string>
#include <string_view>
#include <vector>

namespace bergamothook {

/// Whether the matching calls to a service may be repeated.
struct CallRule {
  /// The method, or "*" for every method.
  std::string Method;
  std::string PathPrefix;
  bool IsRepeatable = false;
};

/// A plain service. A call that matches no rule may not be repeated.
struct EffectiveService {
  std::string Name;
  /// The first rule that matches a call applies.
  std::vector<CallRule> Rules;

  bool isRepeatable(std::string_view Method, std::string_view Path) const;
};

/// The permissions of an operator.
enum class OperatorRole : std::uint8_t { Read, Publish, Settle };

constexpr std::size_t OperatorRoleCount = 3;

/// An operator. Only the hashes of its tokens are stored.
struct EffectiveOperator {
  std::string Name;
  std::vector<OperatorRole> Roles;
  std::vector<Sha256> Keys;

  bool hasRole(OperatorRole Role) const;
};

} // namespace bergamothook

#endif
