/// \file
/// The JSON wire format of key-value caches transferred between engines.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_KVWIRE_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_KVWIRE_H

#include "LibBase/Result.h"
#include "LibStandin/EngineModelTypes.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

inline constexpr const char *KvExportPath = "/engine/kv/export";
inline constexpr const char *KvImportPath = "/engine/kv/import";

nlohmann::json toJson(const KvCache &Cache);

/// Errors: BadAnswer when \p Json is malformed.
Result<KvCache> kvCacheOfJson(const nlohmann::json &Json);

} // namespace bergamothook

#endif
