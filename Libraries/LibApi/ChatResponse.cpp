#include "LibApi/ChatResponse.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

using nlohmann::json;

std::string serialize(const json &Body) {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toEvent(const json &Body) {
  return "data: " + serialize(Body) + "\n\n";
}

json usageBody(const ChatUsage &TokenUsage) {
  return {
      {"prompt_tokens", TokenUsage.PromptTokens},
      {"completion_tokens", TokenUsage.CompletionTokens},
      {"total_tokens", TokenUsage.PromptTokens + TokenUsage.CompletionTokens},
      {"prompt_tokens_details",
       {{"cached_tokens", TokenUsage.CachedPromptTokens}}}};
}

json makeCommonFields(const ChatResponse &Response, const char *Object) {
  return {{"id", Response.Id},
          {"object", Object},
          {"created", Response.CreatedSeconds},
          {"model", Response.Model}};
}

json makeChunk(const ChatResponse &Response, json Delta, json FinishReason) {
  json Chunk = makeCommonFields(Response, "chat.completion.chunk");
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
  return toEvent(makeChunk(*this, std::move(Delta), nullptr));
}

std::string ChatResponse::finishEvent(const std::string &Reason) const {
  return toEvent(makeChunk(*this, json::object(), Reason));
}

std::string ChatResponse::usageEvent(const ChatUsage &TokenUsage) const {
  json Chunk = makeCommonFields(*this, "chat.completion.chunk");
  Chunk["choices"] = json::array();
  Chunk["usage"] = usageBody(TokenUsage);
  return toEvent(Chunk);
}

std::string ChatResponse::problemEvent(const ApiProblem &Problem) {
  return toEvent({{"error", json::parse(Problem.toJson())}});
}

std::string ChatResponse::doneEvent() { return "data: [DONE]\n\n"; }

std::string ChatResponse::completionBody(const std::string &Text,
                                         const std::string &Reason,
                                         const ChatUsage &TokenUsage) const {
  json Body = makeCommonFields(*this, "chat.completion");
  Body["choices"] =
      json::array({{{"index", 0},
                    {"message", {{"role", "assistant"}, {"content", Text}}},
                    {"finish_reason", Reason}}});
  Body["usage"] = usageBody(TokenUsage);
  return serialize(Body);
}

} // namespace bergamothook
