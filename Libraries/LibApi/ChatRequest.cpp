#include "LibApi/ChatRequest.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

using nlohmann::json;

ApiProblem malformed(std::string Detail) {
  return {ApiFailure::MalformedRequest, std::move(Detail), std::nullopt};
}

ApiProblem unsupported(std::string Detail) {
  return {ApiFailure::UnsupportedRequest, std::move(Detail), std::nullopt};
}

/// Appends the text of one message to \p Prompt. \p Content is a string or a
/// list of parts of the type "text"; null adds nothing.
ApiResult<void> appendContent(const json &Content, std::string &Prompt) {
  if (Content.is_string()) {
    Prompt += Content.get_ref<const std::string &>();
    return success();
  }
  if (Content.is_null())
    return success();
  if (!Content.is_array())
    return malformed("a message's content must be a string or a list of parts");
  for (const json &Part : Content) {
    if (!Part.is_object() || !Part.contains("text") ||
        !Part["text"].is_string())
      return unsupported("only parts of the type \"text\" are supported");
    Prompt += Part["text"].get_ref<const std::string &>();
  }
  return success();
}

ApiResult<std::string> parsePrompt(const json &Messages) {
  if (!Messages.is_array() || Messages.empty())
    return malformed("\"messages\" must be a list with at least one message");
  std::string Prompt;
  for (const json &Message : Messages) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message["role"].is_string())
      return malformed("each message must be an object with a \"role\"");
    Prompt += "<" + Message["role"].get<std::string>() + ">";
    if (!Message.contains("content"))
      continue;
    auto Appended = appendContent(Message["content"], Prompt);
    if (!Appended)
      return Appended.error();
  }
  return Prompt;
}

ApiResult<std::uint32_t> parseMaxTokens(const json &Body) {
  for (const char *Key : {"max_completion_tokens", "max_tokens"}) {
    if (!Body.contains(Key) || Body[Key].is_null())
      continue;
    const json &Limit = Body[Key];
    if (!Limit.is_number_integer() || Limit.get<std::int64_t>() < 1 ||
        Limit.get<std::int64_t>() > std::numeric_limits<std::int32_t>::max())
      return malformed(std::string("\"") + Key +
                       "\" must be a whole number above 0");
    return Limit.get<std::uint32_t>();
  }
  return std::uint32_t{0};
}

ApiResult<bool> parseFlag(const json &Body, const char *Key) {
  if (!Body.contains(Key) || Body[Key].is_null())
    return false;
  if (!Body[Key].is_boolean())
    return malformed(std::string("\"") + Key + "\" must be true or false");
  return Body[Key].get<bool>();
}

ApiResult<bool> parseIncludeUsage(const json &Body) {
  if (!Body.contains("stream_options") || Body["stream_options"].is_null())
    return false;
  if (!Body["stream_options"].is_object())
    return malformed("\"stream_options\" must be an object");
  return parseFlag(Body["stream_options"], "include_usage");
}

ApiResult<void> checkSingleChoice(const json &Body) {
  if (!Body.contains("n") || Body["n"].is_null() || Body["n"] == 1)
    return success();
  return unsupported("\"n\" must be 1");
}

} // namespace

ApiResult<ChatRequest> parseChatRequest(std::string_view Text) {
  json Body = json::parse(Text, nullptr, false);
  if (Body.is_discarded() || !Body.is_object())
    return malformed("the body must be a JSON object");
  if (!Body.contains("model") || !Body["model"].is_string())
    return malformed("\"model\" must be a string");
  if (!Body.contains("messages"))
    return malformed("\"messages\" is missing");

  ChatRequest Request;
  Request.Model = Body["model"].get<std::string>();
  BOOST_OUTCOME_TRYV(checkSingleChoice(Body));
  BOOST_OUTCOME_TRY(Prompt, parsePrompt(Body["messages"]));
  Request.Prompt = std::move(Prompt);
  BOOST_OUTCOME_TRY(MaxTokens, parseMaxTokens(Body));
  Request.MaxTokens = MaxTokens;
  BOOST_OUTCOME_TRY(IsStreamed, parseFlag(Body, "stream"));
  Request.IsStreamed = IsStreamed;
  BOOST_OUTCOME_TRY(IncludesUsage, parseIncludeUsage(Body));
  Request.IncludesUsage = IncludesUsage;
  if (Body.contains("metadata") && Body["metadata"].is_object())
    Request.WorkClass = Body["metadata"].value("work_class", "");
  return Request;
}

} // namespace bergamothook
