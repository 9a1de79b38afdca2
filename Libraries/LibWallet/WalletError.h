/// \file
/// Reasons why tokens could not be reserved.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETERROR_H
#define BERGAMOTHOOK_LIBWALLET_WALLETERROR_H

#include <system_error>

namespace bergamothook {

enum class WalletError {
  /// The remaining budget does not cover the request.
  Exhausted = 1,
  /// The budget may cover the request, but this process does not hold enough
  /// tokens: other processes hold them, or the log is unreachable.
  NotInHand,
  /// The log has not been read since the process started.
  NotReady,
  /// No budget of the team is known. This says nothing of what is left of one.
  NoBudget,
};

std::error_code make_error_code(WalletError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::WalletError> : std::true_type {};

#endif
