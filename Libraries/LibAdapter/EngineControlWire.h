/// \file
/// The JSON wire format of engine commands and prefix cache events.

#ifndef BERGAMOTHOOK_LIBADAPTER_ENGINECONTROLWIRE_H
#define BERGAMOTHOOK_LIBADAPTER_ENGINECONTROLWIRE_H

#include "LibTarget/CacheEvents.h"
#include "LibTarget/EngineControl.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

inline constexpr const char *EngineOrdersPath = "/engine/orders";
inline constexpr const char *EngineCachePath = "/engine/cache";
inline constexpr const char *EngineCacheEventsPath = "/engine/cache/events";

nlohmann::json toJson(const EngineCommand &Command);
nlohmann::json toJson(const std::vector<CacheEvent> &Events);
nlohmann::json toJson(const CacheSnapshot &Snapshot);

/// Each fails with TargetError::BadAnswer if the JSON does not have the
/// expected format.
Result<EngineCommand> engineCommandOfJson(const nlohmann::json &Json);
Result<std::vector<CacheEvent>> cacheEventsOfJson(const nlohmann::json &Json);
Result<CacheSnapshot> cacheSnapshotOfJson(const nlohmann::json &Json);

} // namespace bergamothook

#endif
