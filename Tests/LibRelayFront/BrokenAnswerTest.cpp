#include "ReceivedAnswer.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bergamothook;

namespace {

constexpr unsigned GeneratedCases = 5000;
/// Ends the connection after the whole answer.
constexpr std::size_t AfterAll = 100'000;
constexpr const char *EventStream = "text/event-stream";
constexpr const char *Json = "application/json";

const CallerRequest Order{.Kind = CallKind::NonIdempotent};
const CallerRequest Read{.Kind = CallKind::Idempotent};
const CallerRequest Stream{.Kind = CallKind::Stream};
const CallerRequest ResumableStream{.Kind = CallKind::Stream,
                                    .IsResumable = true};

TargetAnswer makeStream(AnswerFraming Framing, unsigned Events = 3) {
  TargetAnswer Answer;
  Answer.Type = EventStream;
  Answer.Framing = Framing;
  Answer.Events = Events;
  return Answer;
}

TargetAnswer makePlain(unsigned Status, const std::string &Type = Json,
                       AnswerFraming Framing = AnswerFraming::Length) {
  TargetAnswer Answer;
  Answer.Status = Status;
  Answer.Type = Type;
  Answer.Framing = Framing;
  if (Status != 204)
    Answer.Body =
        "{\"text\": \"id: 3\\ndata: of " + std::to_string(Status) + "\\n\\n\"}";
  return Answer;
}

/// Answers that may break off.
std::vector<TargetAnswer> brokenAnswers() {
  std::vector<TargetAnswer> All;
  for (AnswerFraming Framing : {AnswerFraming::Length, AnswerFraming::Chunked,
                                AnswerFraming::Connection}) {
    All.push_back(makeStream(Framing));
    All.push_back(makePlain(200, Json, Framing));
  }
  for (unsigned Status : {204, 206, 302, 404, 500, 503})
    for (const char *Type : {Json, EventStream})
      All.push_back(makePlain(Status, Type));
  All.push_back(makePlain(200, "", AnswerFraming::Connection));
  All.push_back(makePlain(206, EventStream, AnswerFraming::Connection));
  TargetAnswer Odd = makeStream(AnswerFraming::Chunked);
  Odd.Type = "text/event-stream; charset=utf-8";
  Odd.Trailer = "Trailing: 1\r\n";
  Odd.Interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  All.push_back(Odd);
  Odd = makeStream(AnswerFraming::Connection);
  Odd.LineEnd = "\r\n";
  Odd.Version = "1.0";
  All.push_back(Odd);
  Odd = makePlain(200);
  Odd.Version = "1.0";
  All.push_back(Odd);
  Odd = makePlain(200, Json, AnswerFraming::Chunked);
  Odd.Trailer = "Trailing: 1\r\n";
  All.push_back(Odd);
  return All;
}

/// Streams with each framing and each kind of ids.
std::vector<TargetAnswer> numberedStreams() {
  std::vector<TargetAnswer> All;
  for (AnswerFraming Framing : {AnswerFraming::Length, AnswerFraming::Chunked,
                                AnswerFraming::Connection})
    for (EventNumbering Numbering :
         {EventNumbering::GoesOn, EventNumbering::FromOne,
          EventNumbering::Skips, EventNumbering::None}) {
      All.push_back(makeStream(Framing));
      All.back().Numbering = Numbering;
    }
  return All;
}

/// Answers of the target that is asked next.
std::vector<TargetAnswer> nextAnswers() {
  std::vector<TargetAnswer> All;
  TargetAnswer Closes;
  Closes.Cut = 0;
  All.push_back(Closes);
  Closes.Interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  Closes.Cut = Closes.Interim.size();
  All.push_back(Closes);
  for (unsigned Status : {200, 204, 206, 302, 404, 421, 500, 502, 503, 504})
    for (const char *Type :
         {"", Json, EventStream, "text/event-stream; charset=utf-8",
          "Text/Event-Stream", "text/event-streams"}) {
      All.push_back(makePlain(Status, Type));
      All.push_back(makePlain(Status, Type, AnswerFraming::Chunked));
    }
  for (TargetAnswer Answer : numberedStreams()) {
    All.push_back(Answer);
    Answer.Type = "Text/Event-Stream;charset=utf-8";
    All.push_back(Answer);
  }
  All.push_back(makeStream(AnswerFraming::Chunked, 0));
  TargetAnswer Refusal = makePlain(503);
  Refusal.ExtraFields = "Not-Executed: full\r\n";
  All.push_back(Refusal);
  TargetAnswer Odd = makeStream(AnswerFraming::Chunked);
  Odd.HasStamp = false;
  All.push_back(Odd);
  Odd = makeStream(AnswerFraming::Chunked);
  Odd.NamesOtherCall = true;
  Odd.Cut = AfterAll;
  All.push_back(Odd);
  return All;
}

void checkPlayed(const PlayedExchange &Played) {
  std::string Fault = findFault(Played);
  CHECK_MESSAGE(Fault.empty(), Fault << "\n" << describe(Played));
}

/// Plays an answer that breaks off at each of its bytes, up to the first fault.
void playEachCut(AnswerHost &Host, const CallerRequest &Request,
                 TargetAnswer Broken, const TargetAnswer &Next) {
  std::size_t Bytes =
      render(Broken, "t0", "call-1000", Request.Method == "HEAD", 0)
          .Bytes.size();
  for (bool Resets : {false, true})
    for (std::size_t Cut = 0; Cut <= Bytes + 1; ++Cut) {
      Broken.Resets = Resets;
      Broken.Cut = Cut;
      PlayedExchange Played = Host.play(Request, {Broken, Next});
      std::string Fault = findFault(Played);
      if (!Fault.empty()) {
        CHECK_MESSAGE(Fault.empty(), Fault << " at byte " << Cut << "\n"
                                           << describe(Played));
        return;
      }
    }
}

} // namespace

TEST_CASE("an answer that breaks off at any byte does not pass for complete, "
          "and an error that follows stays out of it") {
  AnswerHost Host;
  for (const TargetAnswer &Broken : brokenAnswers())
    for (const CallerRequest &Request :
         {Order, Broken.isEventStream() ? ResumableStream : Read})
      playEachCut(Host, Request, Broken, makePlain(500));
}

TEST_CASE("a stream that breaks off at any byte goes on without a gap and "
          "without bytes of the event that was cut") {
  AnswerHost Host;
  for (const TargetAnswer &Broken : brokenAnswers())
    if (Broken.isEventStream())
      playEachCut(Host, ResumableStream, Broken,
                  makeStream(AnswerFraming::Chunked));
}

TEST_CASE("the text of an error under the type of a stream stays out of the "
          "stream that broke off") {
  AnswerHost Host;
  for (AnswerFraming Framing : {AnswerFraming::Length, AnswerFraming::Chunked,
                                AnswerFraming::Connection})
    playEachCut(Host, ResumableStream, makeStream(AnswerFraming::Chunked),
                makePlain(200, EventStream, Framing));
}

TEST_CASE("a stream on a route without resumption is not continued by another "
          "target, though its calls may be repeated") {
  AnswerHost Host;
  for (EventNumbering Numbering :
       {EventNumbering::GoesOn, EventNumbering::FromOne,
        EventNumbering::None}) {
    TargetAnswer Next = makeStream(AnswerFraming::Chunked);
    Next.Numbering = Numbering;
    TargetAnswer Broken = Next;
    playEachCut(Host, Read, Broken, Next);
  }
}

TEST_CASE("a stream that broke off is continued only by events whose ids go "
          "on, and only if its last event has an id") {
  AnswerHost Host;
  for (EventNumbering First : {EventNumbering::FromOne, EventNumbering::None})
    for (EventNumbering Second :
         {EventNumbering::FromOne, EventNumbering::Skips,
          EventNumbering::None}) {
      TargetAnswer Broken = makeStream(AnswerFraming::Chunked);
      Broken.Numbering = First;
      TargetAnswer Next = Broken;
      Next.Numbering = Second;
      playEachCut(Host, ResumableStream, Broken, Next);
    }
}

TEST_CASE("the answer to a HEAD request has no body, and the next answer on "
          "the connection is read where it begins") {
  AnswerHost Host;
  CallerRequest Request = Read;
  Request.Method = "HEAD";
  for (const TargetAnswer &Broken : brokenAnswers())
    playEachCut(Host, Request, Broken, makePlain(500));
  // No target answers, so that the host refuses the call.
  Request.Kind = CallKind::NonIdempotent;
  TargetAnswer Closes;
  Closes.Cut = 0;
  checkPlayed(Host.play(Request, {Closes}));
  PlayedExchange Played = Host.play(Request, {makePlain(200)});
  CHECK(Played.Received.find("Content-Length: 35") != std::string::npos);
  checkPlayed(Played);
  Played = Host.play(Request, {makePlain(200, Json, AnswerFraming::Chunked)});
  CHECK(Played.Received.find("Content-Length: 0") == std::string::npos);
  checkPlayed(Played);
}

TEST_CASE("a caller of HTTP/1.0 gets its stream without chunks, and one that "
          "breaks off ends with a reset") {
  AnswerHost Host;
  for (const TargetAnswer &Broken : brokenAnswers()) {
    CallerRequest Request = Broken.isEventStream() ? ResumableStream : Order;
    Request.Version = "1.0";
    playEachCut(Host, Request, Broken, makePlain(500));
  }
}

TEST_CASE("whatever the next target answers stays out of a stream that broke "
          "off, unless it goes on with it") {
  constexpr std::size_t CutStep = 23;
  AnswerHost Host;
  TargetAnswer Broken = makeStream(AnswerFraming::Chunked);
  std::size_t Bytes = render(Broken, "t0", "call-100", false, 0).Bytes.size();
  for (const TargetAnswer &Next : nextAnswers())
    for (const CallerRequest &Request : {Read, ResumableStream})
      for (bool Resets : {false, true})
        for (Broken.Cut = 0; Broken.Cut < Bytes; Broken.Cut += CutStep) {
          Broken.Resets = Resets;
          checkPlayed(Host.play(Request, {Broken, Next}));
        }
}

TEST_CASE("generated answers that break off, one after the other") {
  AnswerHost Host;
  const std::vector<TargetAnswer> First = brokenAnswers();
  std::vector<TargetAnswer> Any = nextAnswers();
  Any.insert(Any.end(), First.begin(), First.end());
  const std::vector<TargetAnswer> Streams = numberedStreams();
  setenv(
      "RC_PARAMS",
      ("seed=1 max_success=" + std::to_string(GeneratedCases) + " noshrink=1")
          .c_str(),
      1);
  CHECK(rc::check([&] {
    CallerRequest Request = *rc::gen::element(Order, Read, Read, Stream,
                                              ResumableStream, ResumableStream);
    Request.Method = *rc::gen::element<std::string>("POST", "GET", "HEAD");
    Request.Version = *rc::gen::element<std::string>("1.1", "1.1", "1.0");
    std::vector<TargetAnswer> Answers;
    for (const auto &From : {First, Any, Any}) {
      TargetAnswer Answer = *rc::gen::oneOf(rc::gen::elementOf(From),
                                            rc::gen::elementOf(Streams));
      std::size_t Bytes =
          render(Answer, "t0", "call-1000", false, 0).Bytes.size();
      auto Position = rc::gen::inRange<std::size_t>(0, Bytes + 1);
      if (*rc::gen::weightedElement<bool>({{4, true}, {1, false}}))
        Answer.Cut = *Position;
      Answer.Resets = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>())
        Answer.PauseAt = *Position;
      Answers.push_back(Answer);
    }
    PlayedExchange Played = Host.play(Request, Answers);
    std::string Fault = findFault(Played);
    if (!Fault.empty())
      RC_FAIL(Fault + "\n" + describe(Played));
  }));
}

TEST_CASE("the media type of a stream is compared as a whole and in any case") {
  AnswerHost Host;
  for (const char *Type :
       {"Text/Event-Stream", "text/event-stream ; charset=utf-8"}) {
    TargetAnswer Answer = makeStream(AnswerFraming::Length);
    Answer.Type = Type;
    PlayedExchange Played = Host.play(Stream, {Answer});
    CHECK(Played.Received.find("chunked") != std::string::npos);
  }
  PlayedExchange Played =
      Host.play(Stream, {makePlain(200, "text/event-streams")});
  CHECK(Played.Received.find("chunked") == std::string::npos);
}
