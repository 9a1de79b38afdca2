/// \file
/// The result type of functions that return either a value or an error.

#ifndef BERGAMOTHOOK_LIBBASE_RESULT_H
#define BERGAMOTHOOK_LIBBASE_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

namespace bergamothook {

/// Holds either a \p T or the error that prevented it.
template <typename T, typename E = std::error_code>
using Result = boost::outcome_v2::result<T, E>;

using boost::outcome_v2::success;

} // namespace bergamothook

#endif
