/// \file
/// The stack size of a task, the same on real and on virtual time.

#ifndef BERGAMOTHOOK_LIBTASK_TASKSTACK_H
#define BERGAMOTHOOK_LIBTASK_TASKSTACK_H

#include <cstddef>

namespace bergamothook::detail {

/// In bytes. Pages are committed only when first touched.
inline constexpr std::size_t TaskStackBytes = 256 * 1024;

} // namespace bergamothook::detail

#endif
