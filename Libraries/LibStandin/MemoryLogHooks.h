/// \file
/// Adapts a MemoryLog to LogHooks for the tasks of a runtime.

#ifndef BERGAMOTHOOK_LIBSTANDIN_MEMORYLOGHOOKS_H
#define BERGAMOTHOOK_LIBSTANDIN_MEMORYLOGHOOKS_H

#include "LibStandin/MemoryLog.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// Makes hooks over \p Log, which must outlive them. \p IsDisconnected, if
/// given, returns whether the caller is currently partitioned from the log.
LogHooks makeMemoryLogHooks(MemoryLog &Log, const Runtime &Tasks,
                            std::function<bool()> IsDisconnected = {});

} // namespace bergamothook

#endif
