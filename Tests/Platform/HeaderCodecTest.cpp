#include "platform/HeaderCodec.h"

#include "platform/ManifestReader.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1h};

RelayConfigPtr makeConfig() {
  return parseManifest(R"({"version":1,"routes":[
   {"name":"r","host":"a.example","pathPrefix":"/x/","routeKind":"streaming",
    "timeoutMs":12000,"sloMs":800,"priority":3,"service":"s","attempts":1,
    "sticky":true,"resumable":true},
   {"name":"p","host":"a.example","pathPrefix":"/p/","routeKind":"idempotent",
    "timeoutMs":800,"sloMs":150,"service":"s","public":true}],
   "services":[{"name":"s"}],
   "tenants":[{"name":"t","apiKeys":["key"],"priority":1},
    {"name":"b","apiKeys":["paid"],"reserved":5000}]})")
      .value();
}

HttpRequestMessage makeRequest() {
  HttpRequestMessage Message;
  Message.Head.Method = "POST";
  Message.Head.Target = "/x/y?b=1&a=2";
  HeaderList &Headers = Message.Head.Headers;
  Headers.add("Host", "a.example");
  Headers.add("X-Bergamothook-Attempt-Id", "id-1");
  Headers.add("X-Bergamothook-Model", "m");
  Headers.add("X-Bergamothook-Token-Counts", "1460,80");
  Headers.add("X-Bergamothook-Prefix-Hash", "5c:800,91:410,e4:250");
  Headers.add("X-Bergamothook-Deadline-Ms", "3000");
  Headers.add("Authorization", "Bearer key");
  Message.Body = "body";
  return Message;
}

ListedTarget makeTarget() {
  ListedTarget Target;
  Target.Id = "i-1";
  return Target;
}

std::vector<std::string> valuesOf(const HttpRequestHead &Head,
                                  std::string_view Name) {
  std::vector<std::string> Found;
  for (const HeaderField &Field : Head.Headers.fields())
    if (isSameHeader(Field.Name, Name))
      Found.push_back(Field.Value);
  return Found;
}

HttpResponseHead answerOf(unsigned Status, std::vector<HeaderField> Fields) {
  HttpResponseHead Head;
  Head.Status = Status;
  for (const HeaderField &Field : Fields)
    Head.Headers.add(Field.Name, Field.Value);
  return Head;
}

} // namespace

TEST_CASE("a request is decoded into a call") {
  DecodedCall Decoded = decodeCall(makeConfig(), makeRequest(), Now);
  REQUIRE(Decoded.RefusalStatus == 0);
  const RelayCall &Call = Decoded.Call;
  CHECK(Call.Id == "id-1");
  CHECK(Call.Team->Name == "t");
  CHECK(Call.priority() == 1);
  CHECK(Call.deadline() == Now + 3s);
  CHECK(Call.PromptTokens == 1460);
  CHECK(Call.MaxOutputTokens == 80);
  REQUIRE(Call.Parts.size() == 3);
  CHECK(Call.Parts[1].Id == "91");
  CHECK(Call.Parts[1].TokenCount == 410);
}

TEST_CASE("a request without route, key or configuration is refused") {
  HttpRequestMessage Message = makeRequest();
  CHECK(decodeCall({nullptr}, Message, Now).RefusalStatus == 503);
  Message.Head.Target = "/none/";
  CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 404);
  Message = makeRequest();
  Message.Head.Headers.remove("Authorization");
  CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 401);
  Message.Head.Headers.add("authorization", "bearer other");
  CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 401);
  Message.Head.Target = "/p/";
  CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 0);
}

// Guards against calls that share the empty id, and with it the answers and
// streams of each other.
TEST_CASE("a request without an id is refused as its target would") {
  for (const char *Id : {"", "id-1"}) {
    HttpRequestMessage Message = makeRequest();
    Message.Head.Headers.remove("X-Bergamothook-Attempt-Id");
    CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 400);
    Message.Head.Headers.add("X-Bergamothook-Attempt-Id", Id);
    CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus ==
          (*Id ? 0 : 400));
  }
}

TEST_CASE("a route or key that an old configuration lacks is not denied") {
  ConfigInForce Old(makeConfig(), false);
  auto CheckNotDenied = [&](const HttpRequestMessage &Message) {
    DecodedCall Decoded = decodeCall(Old, Message, Now);
    CHECK(Decoded.RefusalStatus == 503);
    CHECK(Decoded.Reason == RelayReason::ConfigOld);
    CHECK(Decoded.RetryAfter);
  };
  HttpRequestMessage Message = makeRequest();
  CHECK(decodeCall(Old, Message, Now).RefusalStatus == 0);
  Message.Head.Target = "/added/";
  CheckNotDenied(Message);
  Message = makeRequest();
  Message.Head.Headers.remove("Authorization");
  Message.Head.Headers.add("Authorization", "Bearer added");
  CheckNotDenied(Message);
}

TEST_CASE(
    "keys are not accepted once they may have been revoked too long ago") {
  ConfigInForce Expired(makeConfig(), false, false);
  HttpRequestMessage Message = makeRequest();
  DecodedCall Decoded = decodeCall(Expired, Message, Now);
  CHECK(Decoded.RefusalStatus == 503);
  CHECK(Decoded.Reason == RelayReason::ConfigOld);
  CHECK(Decoded.RetryAfter);
  Message.Head.Target = "/p/";
  CHECK(decodeCall(Expired, Message, Now).RefusalStatus == 0);
}

TEST_CASE("a budgeted team's request needs valid token counts") {
  for (const char *Counts :
       {"", "1460", "1460,", ",80", "1460,many", "-1,80", "1460,80x"}) {
    CAPTURE(Counts);
    HttpRequestMessage Message = makeRequest();
    Message.Head.Headers.remove("X-Bergamothook-Token-Counts");
    if (*Counts)
      Message.Head.Headers.add("X-Bergamothook-Token-Counts", Counts);
    // A team without a budget needs no reservation.
    CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 0);
    Message.Head.Headers.remove("Authorization");
    Message.Head.Headers.add("Authorization", "Bearer paid");
    DecodedCall Decoded = decodeCall(makeConfig(), Message, Now);
    CHECK(Decoded.RefusalStatus == 400);
    CHECK(Decoded.Reason == RelayReason::BadTokenCounts);
  }
  HttpRequestMessage Message = makeRequest();
  Message.Head.Headers.remove("Authorization");
  Message.Head.Headers.add("Authorization", "Bearer paid");
  CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 0);
  Message.Head.Headers.add("X-Bergamothook-Token-Counts", "1,1");
  CHECK(decodeCall(makeConfig(), Message, Now).RefusalStatus == 400);
}

TEST_CASE("fields reserved for the relay are not forwarded from a caller") {
  HttpRequestMessage Message = makeRequest();
  for (const char *Name :
       {"X-BERGAMOTHOOK-Tenant", "x-bergamothook-tenant",
        "X-Bergamothook-Expect-Instance", "X-Bergamothook-Expect-Version",
        "x-bergamothook-pin-ms", "X-Bergamothook-Kv-Hold",
        "X-Bergamothook-Kv-Backup", "kv-fetch", "KV-FROM",
        "X-Bergamothook-Request-Priority", "x-bergamothook-deadline-ms"})
    Message.Head.Headers.add(Name, "forged");
  Message.Head.Headers.add("X-Other", "1");
  Message.Head.Headers.add("x-other", "2");
  RelayCall Call = decodeCall(makeConfig(), Message, Now).Call;
  HttpRequestHead Head = makeTargetHead(Call, makeTarget(), 1500ms, {});
  for (const HeaderField &Field : Head.Headers.fields())
    CHECK(Field.Value != "forged");
  CHECK(valuesOf(Head, "X-Bergamothook-Tenant") ==
        std::vector<std::string>{"t"});
  CHECK(valuesOf(Head, "X-Bergamothook-Expect-Instance") ==
        std::vector<std::string>{"i-1"});
  CHECK(valuesOf(Head, "X-Bergamothook-Deadline-Ms") ==
        std::vector<std::string>{"1500"});
  // The team's priority overrides the route's, and a short prompt ranks before
  // a long one of the same priority.
  CHECK(valuesOf(Head, "X-Bergamothook-Request-Priority") ==
        std::vector<std::string>{"2"});
  Call.PromptTokens = 12'000;
  CHECK(valuesOf(makeTargetHead(Call, makeTarget(), 1500ms, {}),
                 "X-Bergamothook-Request-Priority") ==
        std::vector<std::string>{"3"});
  CHECK(valuesOf(Head, "Authorization").empty());
  CHECK(valuesOf(Head, "X-Other") == std::vector<std::string>{"1", "2"});
  CHECK(Head.Target == "/x/y?b=1&a=2");
  CHECK(valuesOf(Head, "X-Bergamothook-Prefix-Hash").size() == 1);
}

TEST_CASE("a resume sends the last delivered event id, else the caller's") {
  HttpRequestMessage Message = makeRequest();
  Message.Head.Headers.add("Last-Event-Id", "4");
  RelayCall Call = decodeCall(makeConfig(), Message, Now).Call;
  CHECK(valuesOf(makeTargetHead(Call, makeTarget(), 1s, {}), "Last-Event-Id") ==
        std::vector<std::string>{"4"});
  CHECK(valuesOf(makeTargetHead(Call, makeTarget(), 1s, 9), "Last-Event-Id") ==
        std::vector<std::string>{"9"});
}

TEST_CASE("a call states which stream it resumes, after which event") {
  HttpRequestMessage Message = makeRequest();
  CHECK_FALSE(decodeCall(makeConfig(), Message, Now).Call.isResumption());
  Message.Head.Headers.add("Last-Event-Id", "4");
  RelayCall Call = decodeCall(makeConfig(), Message, Now).Call;
  CHECK(Call.isResumption());
  CHECK(Call.streamAttempt() == Call.Id);
  Message.Head.Headers.add("Resumes", "first");
  Call = decodeCall(makeConfig(), Message, Now).Call;
  CHECK(Call.ResumedAttempt == "first");
  CHECK(Call.streamAttempt() == "first");
  CHECK(valuesOf(makeTargetHead(Call, makeTarget(), 1s, {}), "Resumes") ==
        std::vector<std::string>{"first"});
}

TEST_CASE("a call counts as not run only if the target states it") {
  RelayCall Call = decodeCall(makeConfig(), makeRequest(), Now).Call;
  auto Classify = [&](unsigned Status, std::vector<HeaderField> Fields) {
    bool IsNamed =
        std::any_of(Fields.begin(), Fields.end(), [](const HeaderField &Field) {
          return Field.Name == "X-Bergamothook-Attempt-Id";
        });
    if (!IsNamed)
      Fields.push_back({"X-Bergamothook-Attempt-Id", Call.Id});
    return classifyAnswer(answerOf(Status, std::move(Fields)), Call);
  };
  CHECK(Classify(200, {{"X-Bergamothook-Server-Stamp", "s"}}) ==
        ResponseVerdict::Ran);
  CHECK(Classify(200, {}) == ResponseVerdict::Unverified);
  CHECK(Classify(500, {{"X-Bergamothook-Server-Stamp", "s"}}) ==
        ResponseVerdict::Ran);
  CHECK(Classify(503, {{"X-Bergamothook-Not-Executed", "1"}}) ==
        ResponseVerdict::NotRun);
  CHECK(Classify(503, {{"X-Bergamothook-Server-Stamp", "s"}}) ==
        ResponseVerdict::Unverified);
  CHECK(Classify(429, {}) == ResponseVerdict::Unverified);
  CHECK(Classify(421, {}) == ResponseVerdict::WrongTarget);
  CHECK(Classify(200, {{"X-Bergamothook-Attempt-Id", "id-0"},
                       {"X-Bergamothook-Server-Stamp", "s"}}) ==
        ResponseVerdict::Stale);
}

TEST_CASE("a refusal written once more: one that does not name its call counts "
          "as the answer") {
  RelayCall Call = decodeCall(makeConfig(), makeRequest(), Now).Call;
  for (unsigned Status : {200U, 421U, 429U, 500U, 503U}) {
    std::vector<HeaderField> Fields = {{"X-Bergamothook-Not-Executed", "1"},
                                       {"X-Bergamothook-Server-Stamp", "s"}};
    CHECK(classifyAnswer(answerOf(Status, Fields), Call) ==
          ResponseVerdict::Unverified);
    Fields.push_back({"X-Bergamothook-Attempt-Id", Call.Id});
    Fields.push_back({"X-Bergamothook-Attempt-Id", "other"});
    CHECK(classifyAnswer(answerOf(Status, Fields), Call) ==
          ResponseVerdict::Unverified);
  }
}

TEST_CASE("a refusal has a Retry-After field and no server stamp") {
  RelayCall Call = decodeCall(makeConfig(), makeRequest(), Now).Call;
  HttpResponseHead Head = makeRefusal(503, Call, 1250ms);
  CHECK(Head.Status == 503);
  CHECK(Head.Headers.find("Retry-After") == "1.250");
  CHECK_FALSE(Head.Headers.find("X-Bergamothook-Server-Stamp"));
}

TEST_CASE("a limit that a target states is read from its answer") {
  auto Read = [](std::vector<HeaderField> Fields) {
    return readRateLimit(answerOf(200, std::move(Fields))).PerSecond;
  };
  CHECK(Read({{"Server-Limit", "2.3"}}) == 2.3);
  CHECK(Read({{"server-limit", " 0.5 "}}) == 0.5);
  CHECK(Read({{"Server-Limit", "0"}}) == 0);
  CHECK(Read({{"Server-Limit", "7"}, {"Server-Limit", "4"}}) == 4);
  CHECK_FALSE(Read({{"Content-Type", "text/plain"}}));
}

TEST_CASE("a limit that can't be read is neither a limit nor its end") {
  for (const char *Text : {"", "fast", "-1", "2.3/s", "nan", "inf", "1e3"})
    CHECK(
        readRateLimit(answerOf(200, {{"Server-Limit", Text}})).UnreadableText ==
        Text);
}

TEST_CASE(
    "what a target says of its start tells whether it is the listed run") {
  ListedTarget Target;
  Target.Address = "10.1.0.9:8080";
  Target.StartedAt = 1791239634959;
  HttpRequestHead Question = makeRunQuery(Target);
  CHECK(Question.Method == "GET");
  CHECK(Question.Target == "/-/report");
  CHECK(Question.Headers.find("Host") == Target.Address);
  auto Read = [&](unsigned Status, const std::string &Body) {
    return readRunAnswer(Target, answerOf(Status, {}), Body);
  };
  CHECK(Read(200, R"({"busy":false,"born":1791239634959})") ==
        RunAnswer::Listed);
  CHECK(Read(200, R"({"busy":false,"born":1791239634960})") ==
        RunAnswer::Other);
  for (const char *Body : {"", "{}", R"({"born":"1791239634959"})",
                           R"({"born":-1})", "id: 1\ndata: x\n\n"})
    CHECK(Read(200, Body) == RunAnswer::Unknown);
  CHECK(Read(404, R"({"born":1791239634959})") == RunAnswer::Unknown);
}

TEST_CASE("a health response tells how long its target stays cold") {
  auto Left = [](unsigned Status, std::vector<HeaderField> Fields) {
    return readColdLeft(answerOf(Status, std::move(Fields)));
  };
  CHECK(Left(200, {{"X-Bergamothook-Cold-Ms", " 2350.5 "}}) == 2350500us);
  CHECK(Left(200, {{"x-bergamothook-cold-ms", "0"}}) == 0us);
  CHECK(Left(200, {}) == 0us);
  CHECK_FALSE(Left(503, {{"X-Bergamothook-Cold-Ms", "5"}}));
  for (const char *Value :
       {"", "soon", "-1", "1e3", "inf", "nan", "5 ms", "99999999999999999999"})
    CHECK_FALSE(Left(200, {{"X-Bergamothook-Cold-Ms", Value}}));
  ListedTarget Target;
  Target.Address = "10.0.0.9:8080";
  HttpRequestHead Query = makeHealthQuery(Target, "/h");
  CHECK(Query.Method == "GET");
  CHECK(Query.Target == "/h");
  CHECK(Query.Headers.find("Host") == "10.0.0.9:8080");
}
