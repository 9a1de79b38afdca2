/// \file
/// A log of wallets for tests that do not check budgets.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAY_EMPTYWALLETLOG_H
#define BERGAMOTHOOK_TESTS_LIBRELAY_EMPTYWALLETLOG_H

#include "LibLoan/WalletService.h"

#include <memory>

namespace bergamothook {

/// A log without records that accepts every append.
inline WalletLog makeEmptyLog() {
  auto End = std::make_shared<std::uint64_t>(0);
  WalletLog Log;
  Log.Read = [End](std::uint64_t) -> Result<WalletPage> {
    return WalletPage{{}, *End};
  };
  Log.ReadNewest = [End]() -> Result<WalletPage> {
    return WalletPage{{}, *End};
  };
  Log.AppendAt = [End](std::uint64_t, const std::vector<WalletRecord> &Added) {
    *End += Added.size();
    return WalletAppend::Done;
  };
  return Log;
}

} // namespace bergamothook

#endif
