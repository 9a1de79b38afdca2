#include "LibApi/ChatResponse.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

using nlohmann::json;

std::string toText(const json &Body) {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toEvent(const json &Body) {
  return "data: " + toText(Body) + "\n\n";
}

json usageBody(const ChatUsage &Counted) {
  return {{"prompt_tokens", Counted.PromptTokens},
          {"completion_tokens", Counted.CompletionTokens},
          {"total_tokens", Counted.PromptTokens + Counted.CompletionTokens},
          {"prompt_tokens_details",
           {{"cached_tokens", Counted.CachedPromptTokens}}}};
}

json frameOf(const ChatResponse &Reply, const char *Object) {
  return {{"id", Reply.Id},
          {"object", Object},
          {"created", Reply.CreatedSeconds},
          {"model", Reply.Model}};
}

json chunkOf(const ChatResponse &Reply, json Delta, json FinishReason) {
  json Chunk = frameOf(Reply, "chat.completion.chunk");
  Chunk["choices"] =
      json::array({{{"index", 0},
                    {"delta", std::move(Delta)},
                    {"finish_reason", std::move(FinishReason)}}});
  return Chunk;
}

} // namespace

std::string ChatResponse::textEvent(const std::string &Text,
                                    bool IsFirst) const {
  json Delta{{"content", Text}};
  if (IsFirst)
    Delta["role"] = "assistant";
  return toEvent(chunkOf(*this, std::move(Delta), nullptr));
}

std::string ChatResponse::finishEvent(const std::string &Reason) const {
  return toEvent(chunkOf(*this, json::object(), Reason));
}

std::string ChatResponse::usageEvent(const ChatUsage &Counted) const {
  json Chunk = frameOf(*this, "chat.completion.chunk");
  Chunk["choices"] = json::array();
  Chunk["usage"] = usageBody(Counted);
  return toEvent(Chunk);
}

std::string ChatResponse::problemEvent(const ApiProblem &Problem) {
  return toEvent({{"error", json::parse(Problem.toJson())}});
}

std::string ChatResponse::doneEvent() { return "data: [DONE]\n\n"; }

std::string ChatResponse::completionBody(const std::string &Text,
                                         const std::string &Reason,
                                         const ChatUsage &Counted) const {
  json Body = frameOf(*this, "chat.completion");
  Body["choices"] =
      json::array({{{"index", 0},
                    {"message", {{"role", "assistant"}, {"content", Text}}},
                    {"finish_reason", Reason}}});
  Body["usage"] = usageBody(Counted);
  return toText(Body);
}

} // namespace bergamothook
