#include "LibWallet/WalletError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(WalletError Value) {
  switch (Value) {
  case WalletError::Exhausted:
    return "the budget does not cover the request";
  case WalletError::NotInHand:
    return "the tokens are not in hand";
  case WalletError::NotReady:
    return "the budgets have not been read";
  case WalletError::NoBudget:
    return "no budget of the team is known";
  }
  return "unknown wallet error";
}

const ErrorCategory<WalletError> &category() {
  static const ErrorCategory<WalletError> Category("wallet", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(WalletError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook
