/// \file
/// The JSON wire format of inference engines over HTTP. A stream is sent as one
/// JSON object per line.

#ifndef BERGAMOTHOOK_LIBADAPTER_ENGINEWIRE_H
#define BERGAMOTHOOK_LIBADAPTER_ENGINEWIRE_H

#include "LibTarget/EngineHooks.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bergamothook {

inline constexpr const char *EngineStreamsPath = "/engine/streams";
inline constexpr const char *EngineLoadPath = "/engine/load";

/// Parses a request identifier of 32 hexadecimal digits.
std::optional<RequestId> requestIdOfHex(std::string_view Hex);

nlohmann::json toJson(const GenerationRequest &Generation);
nlohmann::json toJson(const StreamChunk &Chunk);
nlohmann::json toJson(const StreamStatus &Status);
nlohmann::json toJson(const EngineLoad &Load);

/// Each fails with TargetError::BadAnswer if the JSON does not have the
/// expected format.
Result<GenerationRequest> generationRequestOfJson(const nlohmann::json &Json);
Result<StreamChunk> streamChunkOfJson(const nlohmann::json &Json);
Result<StreamStatus> streamStatusOfJson(const nlohmann::json &Json);
Result<EngineLoad> engineLoadOfJson(const nlohmann::json &Json);

} // namespace bergamothook

#endif
