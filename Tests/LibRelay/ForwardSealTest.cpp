#include "LibRelay/ForwardSeal.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

KeyRing makeKeys(char Digit) {
  return KeyRing::parse(R"({"signWith": 1, "keys": {"1": ")" +
                        std::string(64, Digit) + "\"}}")
      .value();
}

const Incarnation SenderRun{idOfName<HostId>("a"), 7};
const Incarnation ReceiverRun{idOfName<HostId>("b"), 9};

struct SealedRequest {
  SealedRequest() {
    this->Head.Method = "POST";
    this->Head.Target = "/chat?x=1";
    this->Head.Headers.add("Host", "api.example");
    // A caller's field of this name is passed on like any other.
    this->Head.Headers.add("Relay-Forwarded", "mine");
    this->Signature =
        this->Sender.sealRequest(this->Head, this->Body, ReceiverRun, 1500ms, 3)
            .value();
  }

  KeyRing Keys = makeKeys('a');
  ForwardSeal Sender{SenderRun, [this] { return &this->Keys; }};
  ForwardSeal Receiver{ReceiverRun, [this] { return &this->Keys; }};
  HttpRequestHead Head;
  std::string Body = "hello";
  std::string Signature;
};

} // namespace

TEST_CASE("a forwarded request is accepted once, as it was sent") {
  SealedRequest Request;
  HttpRequestHead Recorded = Request.Head;
  // As the connection adds them.
  Request.Head.Headers.add("Content-Length", "5");
  auto Opened = Request.Receiver.openRequest(Request.Head, Request.Body);
  REQUIRE(Opened);
  CHECK(Opened.value().IsFresh);
  CHECK(Opened.value().Terms.From == SenderRun);
  CHECK(Opened.value().Terms.TimeLeft == 1500ms);
  CHECK(Opened.value().Terms.ConfigVersion == 3);
  CHECK(Opened.value().Signature == Request.Signature);
  CHECK(Request.Head.Headers.fields() ==
        std::vector<HeaderField>{{"Host", "api.example"},
                                 {"Relay-Forwarded", "mine"}});
  auto Again = Request.Receiver.openRequest(Recorded, Request.Body);
  REQUIRE(Again);
  CHECK_FALSE(Again.value().IsFresh);
}

TEST_CASE("a forwarded request that was changed, is for another process or has "
          "no seal of the fleet is not accepted") {
  SealedRequest Request;
  SUBCASE("another body") {
    CHECK_FALSE(Request.Receiver.openRequest(Request.Head, "hellp"));
  }
  SUBCASE("another field") {
    Request.Head.Headers.remove("Host");
    CHECK_FALSE(Request.Receiver.openRequest(Request.Head, Request.Body));
  }
  SUBCASE("another path") {
    Request.Head.Target = "/chat?x=2";
    CHECK_FALSE(Request.Receiver.openRequest(Request.Head, Request.Body));
  }
  SUBCASE("another key") {
    Request.Keys = makeKeys('b');
    CHECK_FALSE(Request.Receiver.openRequest(Request.Head, Request.Body));
  }
  SUBCASE("no seal") {
    Request.Head.Headers.remove("Relay-Forwarded");
    CHECK_FALSE(Request.Receiver.openRequest(Request.Head, Request.Body));
  }
  SUBCASE("a later process of the host") {
    ForwardSeal Later({ReceiverRun.Host, ReceiverRun.Run + 1},
                      [&] { return &Request.Keys; });
    auto Opened = Later.openRequest(Request.Head, Request.Body);
    REQUIRE(Opened);
    CHECK_FALSE(Opened.value().IsFresh);
  }
}

TEST_CASE(
    "an answer is accepted only with the seal for its request, its status "
    "and what the host says of itself") {
  SealedRequest Request;
  HttpResponseHead Head;
  Head.Status = 503;
  Request.Receiver.sealAnswer(Head, Request.Signature, PeerVerdict::Busy);
  HttpResponseHead Copy = Head;
  auto Verdict = Request.Sender.openAnswer(Copy, Request.Signature);
  REQUIRE(Verdict);
  CHECK(Verdict.value() == PeerVerdict::Busy);
  CHECK(Copy.Headers.fields().empty());
  Copy = Head;
  CHECK_FALSE(Request.Sender.openAnswer(Copy, std::string(32, '0')));
  Copy = Head;
  Copy.Status = 200;
  CHECK_FALSE(Request.Sender.openAnswer(Copy, Request.Signature));
}
