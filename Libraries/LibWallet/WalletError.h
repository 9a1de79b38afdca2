/// \file
/// Why tokens could not be set aside.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETERROR_H
#define BERGAMOTHOOK_LIBWALLET_WALLETERROR_H

#include <system_error>

namespace bergamothook {

enum class WalletError {
  /// What is left of the budget does not cover the request.
  Exhausted = 1,
  /// The budget may cover it, but the tokens are not in hand: other processes
  /// hold them, or the log can't be reached.
  NotInHand,
  /// The log has not been read since the process started.
  NotReady,
};

std::error_code make_error_code(WalletError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::WalletError> : std::true_type {};

#endif
