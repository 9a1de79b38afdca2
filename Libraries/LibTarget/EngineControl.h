/// \file
/// Commands that change which models an engine has loaded, or its role. Each
/// adapter implements the hooks for one wire format.

#ifndef BERGAMOTHOOK_LIBTARGET_ENGINECONTROL_H
#define BERGAMOTHOOK_LIBTARGET_ENGINECONTROL_H

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibTarget/EngineHooks.h"

#include <cstdint>
#include <functional>
#include <string>

namespace bergamothook {

/// Which phases of a generation an engine runs.
enum class EngineRole : std::uint8_t { Both, Prefill, Decode };

enum class EngineCommandKind : std::uint8_t { Load, Unload, SetRole };

/// A control command. It states the desired state, which makes it idempotent.
struct EngineCommand {
  /// The fencing number of the controller that issued the command. An engine
  /// that checks it rejects a number below the highest it has seen with
  /// TargetError::StaleFencingNumber.
  std::uint64_t Fence = 0;
  EngineCommandKind Kind = EngineCommandKind::Load;
  /// The model, adapter and version to load or unload. An empty adapter stands
  /// for the base model, an empty version for the latest one.
  std::string Model;
  std::string Adapter;
  std::string Version;
  EngineRole Role = EngineRole::Both;
};

/// Calls that send commands to engines. Each blocks the calling task.
struct EngineControlHooks {
  std::function<Result<void>(const TargetAddress &, const EngineCommand &,
                             TimePoint Deadline)>
      Send;
};

} // namespace bergamothook

#endif
