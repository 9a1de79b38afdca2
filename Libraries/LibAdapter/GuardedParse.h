/// \file
/// Parses JSON received from another program.

#ifndef BERGAMOTHOOK_LIBADAPTER_GUARDEDPARSE_H
#define BERGAMOTHOOK_LIBADAPTER_GUARDEDPARSE_H

#include "LibBase/Result.h"
#include "LibTarget/TargetError.h"

#include <nlohmann/json.hpp>

namespace bergamothook::detail {

/// Runs \p Parse. \returns TargetError::BadAnswer if it throws one of
/// nlohmann's exceptions.
template <typename T, typename Function>
Result<T> guardedParse(const Function &Parse) {
  try {
    return Parse();
  } catch (const nlohmann::json::exception &) {
    return TargetError::BadAnswer;
  }
}

} // namespace bergamothook::detail

#endif
