/// \file
/// The type of every value that may be missing for a typed reason.

#ifndef BERGAMOTHOOK_LIBBASE_RESULT_H
#define BERGAMOTHOOK_LIBBASE_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

namespace bergamothook {

/// Holds a \p T, or the error code that says why there is none.
template <typename T, typename E = std::error_code>
using Result = boost::outcome_v2::result<T, E>;

using boost::outcome_v2::success;

} // namespace bergamothook

#endif
