/// \file
/// The wire format of orders to engines and of their cache events: JSON.

#ifndef BERGAMOTHOOK_LIBADAPTER_ENGINECONTROLWIRE_H
#define BERGAMOTHOOK_LIBADAPTER_ENGINECONTROLWIRE_H

#include "LibTarget/CacheEvents.h"
#include "LibTarget/EngineControl.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

inline constexpr const char *EngineOrdersPath = "/engine/orders";
inline constexpr const char *EngineCachePath = "/engine/cache";
inline constexpr const char *EngineCacheEventsPath = "/engine/cache/events";

nlohmann::json toJson(const EngineCommand &Order);
nlohmann::json toJson(const std::vector<CacheEvent> &Events);
nlohmann::json toJson(const CacheSnapshot &Whole);

/// Each gives TargetError::BadAnswer where the JSON is not of the format.
Result<EngineCommand> engineCommandOfJson(const nlohmann::json &Json);
Result<std::vector<CacheEvent>> cacheEventsOfJson(const nlohmann::json &Json);
Result<CacheSnapshot> cacheSnapshotOfJson(const nlohmann::json &Json);

} // namespace bergamothook

#endif
