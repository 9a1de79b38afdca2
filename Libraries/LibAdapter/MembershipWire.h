/// \file
/// The JSON wire format of the membership list.

#ifndef BERGAMOTHOOK_LIBADAPTER_MEMBERSHIPWIRE_H
#define BERGAMOTHOOK_LIBADAPTER_MEMBERSHIPWIRE_H

#include "LibPlatform/MembershipHooks.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

/// Errors of calls to the membership service.
enum class MembershipError {
  /// The service was unreachable or did not answer.
  Unavailable = 1,
  /// The response is not a membership list.
  BadAnswer,
};

std::error_code make_error_code(MembershipError Value);

nlohmann::json toJson(const MemberList &List);
nlohmann::json toJson(const Member &Entry);

/// Fails with MembershipError::BadAnswer if \p Json is not a membership list.
Result<MemberList> memberListOfJson(const nlohmann::json &Json);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::MembershipError> : std::true_type {
};

#endif
