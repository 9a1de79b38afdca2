#include "LibStandinServer/KvWire.h"

#include "LibAdapter/EngineWire.h"
#include "LibAdapter/GuardedParse.h"

namespace bergamothook {

nlohmann::json toJson(const KvCache &Moved) {
  return {{"request", toHex(Moved.Request)},
          {"model", Moved.Model},
          {"prompt_tokens", Moved.PromptTokens},
          {"generated_tokens", Moved.GeneratedTokens}};
}

Result<KvCache> kvCacheOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<KvCache>([&]() -> Result<KvCache> {
    KvCache Moved;
    auto Request = requestIdOfHex(Json.at("request").get<std::string>());
    if (!Request)
      return TargetError::BadAnswer;
    Moved.Request = *Request;
    Moved.Model = Json.at("model").get<std::string>();
    Moved.PromptTokens = Json.at("prompt_tokens").get<std::uint32_t>();
    Moved.GeneratedTokens = Json.at("generated_tokens").get<std::uint32_t>();
    return Moved;
  });
}

} // namespace bergamothook
