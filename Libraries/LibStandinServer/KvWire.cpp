#include "LibStandinServer/KvWire.h"

#include "LibAdapter/EngineWire.h"
#include "LibAdapter/GuardedParse.h"

namespace bergamothook {

nlohmann::json toJson(const KvCache &Cache) {
  return {{"request", toHex(Cache.Request)},
          {"model", Cache.Model},
          {"prompt_tokens", Cache.PromptTokens},
          {"generated_tokens", Cache.GeneratedTokens}};
}

Result<KvCache> kvCacheOfJson(const nlohmann::json &Json) {
  return detail::guardedParse<KvCache>([&]() -> Result<KvCache> {
    KvCache Parsed;
    auto Request = requestIdOfHex(Json.at("request").get<std::string>());
    if (!Request)
      return TargetError::BadAnswer;
    Parsed.Request = *Request;
    Parsed.Model = Json.at("model").get<std::string>();
    Parsed.PromptTokens = Json.at("prompt_tokens").get<std::uint32_t>();
    Parsed.GeneratedTokens = Json.at("generated_tokens").get<std::uint32_t>();
    return Parsed;
  });
}

} // namespace bergamothook
