/// \file
/// Offers a MemoryLog through the hooks of the platform's log, to tasks of a
/// runtime.

#ifndef BERGAMOTHOOK_LIBSTANDIN_MEMORYLOGHOOKS_H
#define BERGAMOTHOOK_LIBSTANDIN_MEMORYLOGHOOKS_H

#include "LibStandin/MemoryLog.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// Makes hooks over \p Log, which must outlive them. \p IsCut, where given,
/// tells whether the caller is cut off from the log at this moment.
LogHooks makeMemoryLogHooks(MemoryLog &Log, const Runtime &Tasks,
                            std::function<bool()> IsCut = {});

} // namespace bergamothook

#endif
