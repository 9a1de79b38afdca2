#include "LibApi/ChatRequest.h"
#include "LibApi/ChatResponse.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("a typical client request is parsed") {
  auto Request = parseChatRequest(R"({"model": "m", "stream": true,
    "stream_options": {"include_usage": true}, "max_tokens": 7,
    "messages": [{"role": "system", "content": "be brief"},
                 {"role": "user", "content": [{"type": "text", "text": "hi"}]}]})");
  REQUIRE(Request);
  CHECK(Request.value().Prompt == "<system>be brief<user>hi");
  CHECK(Request.value().MaxTokens == 7);
  CHECK(Request.value().IsStreamed);
  CHECK(Request.value().IncludesUsage);
}

TEST_CASE("each malformed request is reported with its failure code") {
  for (const char *Body :
       {"", "[]", "{", "{\"model\": 1}", "{\"model\": \"m\"}",
        R"({"model": "m", "messages": []})",
        R"({"model": "m", "messages": ["x"]})",
        R"({"model": "m", "messages": [{"role": "user", "content": 5}]})",
        R"({"model": "m", "messages": [{"role": "user"}], "max_tokens": -1})",
        R"({"model": "m", "messages": [{"role": "user"}], "max_tokens": 1e9})",
        R"({"model": "m", "messages": [{"role": "user"}], "stream": "yes"})"}) {
    CAPTURE(Body);
    auto Request = parseChatRequest(Body);
    REQUIRE_FALSE(Request);
    CHECK(Request.error().Failure == ApiFailure::MalformedRequest);
  }
  CHECK(parseChatRequest(
            R"({"model": "m", "n": 2, "messages": [{"role": "user"}]})")
            .error()
            .Failure == ApiFailure::UnsupportedRequest);
}

TEST_CASE("a problem reports its outcome and a Retry-After value") {
  ApiProblem Problem{ApiFailure::Overloaded, "", 1500ms};
  auto Body = nlohmann::json::parse(Problem.toJson());
  CHECK(Body["type"] == "urn:bergamothook:problem:overloaded");
  CHECK(Body["outcome"] == "not run");
  CHECK(Body["status"] == 429);
  CHECK(Problem.retryAfterHeader() == "2");
}

TEST_CASE("every failure has its own table entry") {
  for (int Value = 1; Value <= static_cast<int>(ApiFailure::StreamBroken);
       ++Value) {
    auto Failure = static_cast<ApiFailure>(Value);
    CAPTURE(Value);
    if (Failure != ApiFailure::MalformedRequest)
      CHECK(std::string(propertiesOf(Failure).Type) != "malformed-request");
  }
}

TEST_CASE("the complete response and the streamed chunks carry the same text") {
  ChatResponse Response{"chatcmpl-1", "m", 5};
  auto Completion =
      nlohmann::json::parse(Response.completionBody("abc", "stop", {2, 1, 3}));
  CHECK(Completion["choices"][0]["message"]["content"] == "abc");
  CHECK(Completion["usage"]["total_tokens"] == 5);
  auto Event = Response.textEvent("abc", true);
  CHECK(Event.substr(0, 6) == "data: ");
  auto Chunk = nlohmann::json::parse(Event.substr(6));
  CHECK(Chunk["choices"][0]["delta"]["content"] == "abc");
  CHECK(ChatResponse::doneEvent() == "data: [DONE]\n\n");
}
