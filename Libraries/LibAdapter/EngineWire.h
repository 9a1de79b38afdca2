/// \file
/// The wire format of model engines over HTTP: JSON, and a stream as one JSON
/// object a line.

#ifndef BERGAMOTHOOK_LIBADAPTER_ENGINEWIRE_H
#define BERGAMOTHOOK_LIBADAPTER_ENGINEWIRE_H

#include "LibTarget/EngineHooks.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bergamothook {

inline constexpr const char *EngineStreamsPath = "/engine/streams";
inline constexpr const char *EngineLoadPath = "/engine/load";

/// Reads 32 hexadecimal digits.
std::optional<RequestId> requestIdOfHex(std::string_view Hex);

nlohmann::json toJson(const GenerationRequest &Order);
nlohmann::json toJson(const StreamChunk &Chunk);
nlohmann::json toJson(const StreamStatus &Status);
nlohmann::json toJson(const EngineLoad &Load);

/// Each gives TargetError::BadAnswer where the JSON is not of the format.
Result<GenerationRequest> generationRequestOfJson(const nlohmann::json &Json);
Result<StreamChunk> streamChunkOfJson(const nlohmann::json &Json);
Result<StreamStatus> streamStatusOfJson(const nlohmann::json &Json);
Result<EngineLoad> engineLoadOfJson(const nlohmann::json &Json);

} // namespace bergamothook

#endif
