#include "../LibHttp/RawServer.h"
#include "ReceivedAnswer.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

constexpr const char *EventStream = "text/event-stream";

const CallerRequest Order{.Kind = CallKind::NonIdempotent};
const CallerRequest Read{.Kind = CallKind::Idempotent};
const CallerRequest Stream{.Kind = CallKind::Stream};
const CallerRequest ResumableStream{.Kind = CallKind::Stream,
                                    .IsResumable = true};

TargetAnswer makeAnswer(bool IsStream,
                        AnswerFraming Framing = AnswerFraming::Length) {
  TargetAnswer Answer;
  Answer.Type = IsStream ? EventStream : "application/json";
  Answer.Framing = Framing;
  if (IsStream)
    Answer.Events = 3;
  else
    Answer.Body = "{}";
  return Answer;
}

/// Complete answers whose head is not one of an HTTP/1.1 response.
std::vector<TargetAnswer> unsoundAnswers(bool IsStream) {
  std::vector<TargetAnswer> All;
  for (AnswerFraming Framing : {AnswerFraming::Length, AnswerFraming::Chunked,
                                AnswerFraming::Connection}) {
    const TargetAnswer Sound = makeAnswer(IsStream, Framing);
    for (unsigned Status : {0, 1, 99, 600, 999}) {
      All.push_back(Sound);
      All.back().Status = Status;
    }
    All.push_back(Sound);
    All.back().Interim = "HTTP/1.1 101 Switching Protocols\r\n"
                         "Connection: upgrade\r\nUpgrade: x\r\n\r\n";
    for (const char *Line :
         {"Na me: 1", "Name : 1", "Na\x01me: 1", "\x7fName: 1", "Na\tme: 1",
          "Content-Length : 1", "Transfer-Encoding : chunked", ": 1"}) {
      All.push_back(Sound);
      All.back().ExtraFields = std::string(Line) + "\r\n";
    }
  }
  All.push_back(makeAnswer(IsStream, AnswerFraming::Connection));
  All.back().ExtraFields = "Transfer-Encoding: gzip\r\n";
  All.push_back(makeAnswer(IsStream, AnswerFraming::Chunked));
  All.back().Version = "1.0";
  return All;
}

bool holds(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

bool mayRepeat(const CallerRequest &Request) {
  return Request.Kind == CallKind::Idempotent || Request.IsResumable;
}

} // namespace

TEST_CASE(
    "no byte of an answer with a broken head reaches the caller: the call "
    "is repeated, or its outcome is unknown") {
  AnswerHost Host;
  for (const CallerRequest &Request : {Order, Read, Stream, ResumableStream})
    for (const TargetAnswer &Broken :
         unsoundAnswers(Request.Kind == CallKind::Stream)) {
      TargetAnswer Next = makeAnswer(Request.Kind == CallKind::Stream);
      PlayedExchange Played = Host.play(Request, {Broken, Next});
      CAPTURE(describe(Played));
      ReceivedAnswer Received = split(Played);
      CHECK_FALSE(Received.IsMalformed);
      CHECK(Received.IsWhole);
      CHECK_FALSE(holds(Played.Received, "t0"));
      CHECK(Host.targetFailures() == 1);
      if (mayRepeat(Request)) {
        CHECK(Received.Status == 200);
        CHECK(Received.Stamp == "t1");
        CHECK(findFault(Played).empty());
      } else {
        CHECK(Played.Sent.size() == 1);
        CHECK(Received.Status == 502);
        CHECK(holds(Received.Body, "\"unknown\""));
      }
    }
}

TEST_CASE("an answer with a broken head does not continue a stream") {
  AnswerHost Host;
  TargetAnswer Begins = makeAnswer(true, AnswerFraming::Chunked);
  Begins.Cut = render(Begins, "t0", "call-10", false, 0).Bytes.find("t0-2");
  TargetAnswer Continues = makeAnswer(true, AnswerFraming::Chunked);
  for (const TargetAnswer &Broken : unsoundAnswers(true)) {
    PlayedExchange Played =
        Host.play(ResumableStream, {Begins, Broken, Continues});
    CAPTURE(describe(Played));
    CHECK_FALSE(holds(Played.Received, "t1"));
    CHECK(holds(Played.Received, "data: t2"));
    CHECK(findFault(Played).empty());
  }
}

TEST_CASE("rare answers that are sound reach the caller as they are") {
  AnswerHost Host;
  for (unsigned Status : {299, 304, 418, 499, 501, 599}) {
    TargetAnswer Answer = makeAnswer(false);
    Answer.Status = Status;
    if (Status == 304)
      Answer.Body.clear();
    Answer.ExtraFields = "Empty: \r\nHigh: \xe4\xff\r\n";
    PlayedExchange Played = Host.play(Order, {Answer});
    CAPTURE(describe(Played));
    CHECK(split(Played).Status == Status);
    CHECK(holds(Played.Received, "High: \xe4\xff\r\n"));
    CHECK(findFault(Played).empty());
  }
}

namespace {

/// Beyond what the kernel of a RawServer receives ahead, and within what the
/// host queues for it.
constexpr std::size_t LongBodyBytes = 250'000;
constexpr std::size_t VeryLongBodyBytes = 3'000'000;

struct Upload {
  CallerRequest Request;
  std::string Head;
  std::string Body;
  ServerEnd End = ServerEnd::Close;
  std::size_t ReadBytes = 0;
};

/// The targets answer uploads as told, and all other requests completely, which
/// keeps their connections.
PlayedExchange playUpload(const Upload &Played, bool IsKept) {
  auto Respond = [&](const std::string &RequestHead) -> RawResponse {
    std::string Head =
        "HTTP/1.1 200 OK\r\nId: " + rawFieldOf(RequestHead, "Id") +
        "\r\nStamp: raw\r\n";
    if (rawFieldOf(RequestHead, "Content-Length").empty())
      return {Head + "Content-Length: 4\r\n\r\nnext", 0, ServerEnd::None};
    return {Head + Played.Head + "\r\n" + Played.Body, Played.ReadBytes,
            Played.End};
  };
  RawServer Target(Respond);
  AnswerHost Host;
  Host.useTargetsAt(Target.address());
  if (IsKept) {
    CallerRequest Before = Read;
    Before.Method = "GET";
    Host.play(Before, {});
  }
  return Host.play(Played.Request, {});
}

const std::string JsonField = "Content-Type: application/json\r\n";
const std::string StreamField = "Content-Type: text/event-stream\r\n";
const std::string WholeEvent = "id: 1\ndata: part\n\n";

std::string describe(const Upload &Played, bool IsKept) {
  return "kind " + std::to_string(static_cast<int>(Played.Request.Kind)) +
         ", " + std::to_string(Played.ReadBytes) + " of " +
         std::to_string(Played.Request.BodyBytes) + " bytes read, end " +
         std::to_string(static_cast<int>(Played.End)) +
         (IsKept ? ", kept connection" : "") + "\n" + Played.Head;
}

void checkPassedOn(const Upload &Played, bool IsKept) {
  CAPTURE(describe(Played, IsKept));
  PlayedExchange Answered = playUpload(Played, IsKept);
  CAPTURE(describe(Answered));
  ReceivedAnswer Received = split(Answered);
  CHECK(Received.Status == 200);
  CHECK(Received.IsWhole);
  CHECK(Received.Body == "part");
}

} // namespace

TEST_CASE("a part of an answer that the end of its connection delimits is not "
          "passed on as complete if the upload was not sent") {
  for (CallerRequest Request : {Order, Read, Stream})
    for (std::size_t Bytes : {LongBodyBytes, VeryLongBodyBytes})
      for (ServerEnd End :
           {ServerEnd::Close, ServerEnd::Reset, ServerEnd::HalfClose,
            ServerEnd::HalfCloseThenReset})
        for (bool IsKept : {false, true}) {
          // The upload would wait for its deadline.
          if (End == ServerEnd::HalfClose && Bytes == VeryLongBodyBytes)
            continue;
          Request.BodyBytes = Bytes;
          bool IsStream = Request.Kind == CallKind::Stream;
          Upload Played{Request, IsStream ? StreamField : JsonField,
                        IsStream ? WholeEvent : "part", End,
                        IsKept ? Bytes / 2 : 0};
          CAPTURE(describe(Played, IsKept));
          PlayedExchange Answered = playUpload(Played, IsKept);
          CAPTURE(describe(Answered));
          ReceivedAnswer Received = split(Answered);
          REQUIRE(Answered.HasEnded);
          if (IsStream && Received.Stamp == "raw") {
            CHECK_FALSE(Received.IsWhole);
            CHECK(Answered.WasReset);
          } else {
            CHECK(Received.Status == 502);
            CHECK(holds(Received.Body, "\"unknown\""));
          }
        }
}

TEST_CASE("an answer that the end of its connection delimits is passed on if "
          "the upload was read before") {
  for (std::size_t Bytes : {std::size_t{100}, LongBodyBytes, VeryLongBodyBytes})
    for (bool IsKept : {false, true}) {
      CallerRequest Request = Order;
      Request.BodyBytes = Bytes;
      checkPassedOn({Request, JsonField, "part", ServerEnd::Close, Bytes},
                    IsKept);
    }
}

TEST_CASE("an answer with a length reaches the caller of an upload that the "
          "target does not read") {
  for (std::size_t Bytes : {LongBodyBytes, VeryLongBodyBytes})
    for (ServerEnd End :
         {ServerEnd::HalfClose, ServerEnd::Close, ServerEnd::Reset})
      for (bool IsKept : {false, true}) {
        // The upload would wait for its deadline.
        if (End == ServerEnd::HalfClose && Bytes == VeryLongBodyBytes)
          continue;
        CallerRequest Request = Order;
        Request.BodyBytes = Bytes;
        checkPassedOn({Request, JsonField + "Content-Length: 4\r\n", "part",
                       End, IsKept ? Bytes / 2 : 0},
                      IsKept);
      }
}
