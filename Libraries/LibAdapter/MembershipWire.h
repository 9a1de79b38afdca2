/// \file
/// The wire format of the membership list: JSON.

#ifndef BERGAMOTHOOK_LIBADAPTER_MEMBERSHIPWIRE_H
#define BERGAMOTHOOK_LIBADAPTER_MEMBERSHIPWIRE_H

#include "LibPlatform/MembershipHooks.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

/// What can be wrong with an answer of the membership service.
enum class MembershipError {
  /// The service could not be reached or did not answer.
  Unavailable = 1,
  /// The service answered with something that is not a list.
  BadAnswer,
};

std::error_code make_error_code(MembershipError Value);

nlohmann::json toJson(const MemberList &List);
nlohmann::json toJson(const Member &Line);

/// MembershipError::BadAnswer where \p Json is not a list of members.
Result<MemberList> memberListOfJson(const nlohmann::json &Json);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::MembershipError> : std::true_type {
};

#endif
