/// \file
/// Orders that change an engine: which models it has loaded, and its role. An
/// adapter fills the hooks in for one wire format.

#ifndef BERGAMOTHOOK_LIBTARGET_ENGINECONTROL_H
#define BERGAMOTHOOK_LIBTARGET_ENGINECONTROL_H

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibTarget/EngineHooks.h"

#include <cstdint>
#include <functional>
#include <string>

namespace bergamothook {

/// Which phases of a generation an engine takes.
enum class EngineRole : std::uint8_t { Both, Prefill, Decode };

enum class EngineCommandKind : std::uint8_t { Load, Unload, SetRole };

/// One order to an engine. Every order names a wanted state, so that a second
/// copy of it changes nothing.
struct EngineCommand {
  /// The number of the one who decides. An engine that checks it refuses a
  /// smaller one than it has seen, with TargetError::StaleFencingNumber.
  std::uint64_t Fence = 0;
  EngineCommandKind Kind = EngineCommandKind::Load;
  /// The model, adapter and version to load or unload. An empty adapter or
  /// version stands for the bare model or its newest version.
  std::string Model;
  std::string Adapter;
  std::string Version;
  EngineRole Role = EngineRole::Both;
};

/// Calls that change engines. Each blocks the calling task.
struct EngineControlHooks {
  std::function<Result<void>(const TargetAddress &, const EngineCommand &,
                             TimePoint Deadline)>
      Send;
};

} // namespace bergamothook

#endif
