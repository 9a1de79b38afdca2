#include "LibPeer/PeerSessionManager.h"
#include "LibPeer/MessageCodec.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr HostId A{1};
constexpr HostId B{2};
constexpr TimePoint Start{1h};
constexpr std::uint16_t Kind = FirstMessageKind;

std::string keyFile(const std::string &SignWith, const std::string &Ids) {
  std::string Keys;
  for (char Id : Ids)
    Keys += std::string(Keys.empty() ? "" : ",") + "\"" + Id + "\":\"" +
            std::string(64, Id) + "\"";
  return R"({"signWith":)" + SignWith + R"(,"keys":{)" + Keys + "}}";
}

KeyRing keys() { return KeyRing::parse(keyFile("1", "1")).value(); }

PeerSessionManager gate(HostId Host, std::uint64_t Run) {
  return PeerSessionManager({Host, Run}, keys(), {}, Host.Value * 100 + Run);
}

/// Carries handshakes to and fro until there are none left.
void carry(PeerSessionManager &One, PeerSessionManager &Other, TimePoint Now) {
  for (bool IsBusy = true; IsBusy;) {
    IsBusy = false;
    for (auto [From, To] : {std::pair(&One, &Other), std::pair(&Other, &One)})
      for (const auto &Frame : From->takeHandshakes()) {
        IsBusy = true;
        (void)To->open(Frame.Bytes, PeerTransport::Datagram, Now);
      }
  }
}

void meet(PeerSessionManager &One, PeerSessionManager &Other, HostId OtherId,
          TimePoint Now) {
  One.greet(OtherId, Now);
  carry(One, Other, Now);
}

std::string frameTo(PeerSessionManager &From, HostId To,
                    const std::string &Body) {
  return From.seal(To, PeerTransport::Datagram, Kind, Body).value();
}

std::error_code refusal(PeerSessionManager &Gate, const std::string &Frame,
                        TimePoint Now = Start) {
  return Gate.open(Frame, PeerTransport::Datagram, Now).error();
}

} // namespace

TEST_CASE("a handshake opens both directions") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  CHECK(One.seal(B, PeerTransport::Datagram, Kind, "x").error() ==
        PeerError::NoSession);
  meet(One, Other, B, Start);
  CHECK(One.runOf(B) == 22);
  CHECK(Other.runOf(A) == 11);
  auto Message =
      Other.open(frameTo(One, B, "hello"), PeerTransport::Datagram, Start);
  REQUIRE(Message);
  CHECK(Message.value()->Body == "hello");
  CHECK(Message.value()->Sender == Incarnation{A, 11});
}

TEST_CASE("a replay is refused, also out of order") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  meet(One, Other, B, Start);
  std::vector<std::string> Frames;
  for (int Count = 0; Count < 50; ++Count)
    Frames.push_back(frameTo(One, B, std::to_string(Count)));
  for (auto Frame = Frames.rbegin(); Frame != Frames.rend(); ++Frame)
    CHECK(Other.open(*Frame, PeerTransport::Datagram, Start));
  for (const auto &Frame : Frames)
    CHECK(refusal(Other, Frame) == PeerError::Replayed);
  // Numbers are counted for each transport, so a frame can't change over.
  CHECK(
      Other.open(frameTo(One, B, "x"), PeerTransport::Stream, Start).error() ==
      PeerError::Malformed);
}

TEST_CASE("damage, strangers and other versions are told apart") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  meet(One, Other, B, Start);
  std::string Frame = frameTo(One, B, "body");
  for (std::size_t Length = 0; Length < Frame.size(); ++Length)
    CHECK(refusal(Other, Frame.substr(0, Length)));
  for (std::size_t At = 0; At < Frame.size(); ++At) {
    std::string Damaged = Frame;
    Damaged[At] ^= 1;
    CHECK(refusal(Other, Damaged));
  }
  std::string OtherVersion = Frame;
  OtherVersion[1] = 9;
  CHECK(refusal(Other, OtherVersion) == PeerError::OtherVersion);
  PeerSessionManager Stranger(
      {A, 11}, KeyRing::parse(keyFile("1", "12")).value(), {}, 1);
  Stranger.setKeys(KeyRing::parse(R"({"signWith":1,"keys":{"1":")" +
                                  std::string(64, 'f') + "\"}}")
                       .value());
  Stranger.greet(B, Start);
  CHECK(refusal(Other, Stranger.takeHandshakes()[0].Bytes) ==
        PeerError::BadSignature);
  CHECK(refusal(Other, std::string(MaxDatagramBytes + 1, 'x')) ==
        PeerError::TooLarge);
  CHECK(Other.open(Frame, PeerTransport::Datagram, Start));
}

TEST_CASE("a frame for another host is refused") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  PeerSessionManager Third = gate(HostId{3}, 33);
  meet(One, Other, B, Start);
  CHECK(refusal(Third, frameTo(One, B, "x")) == PeerError::OtherRecipient);
}

TEST_CASE("nothing recorded outlives the run of either end") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  meet(One, Other, B, Start);
  std::string Old = frameTo(One, B, "old");

  PeerSessionManager LaterOther = gate(B, 23);
  CHECK(refusal(LaterOther, Old) == PeerError::EarlierRun);
  // The refusal makes both ends learn of each other's present run.
  carry(LaterOther, One, Start + 1s);
  CHECK(One.runOf(B) == 23);
  CHECK(LaterOther.runOf(A) == 11);
  CHECK(refusal(LaterOther, Old) == PeerError::EarlierRun);
  CHECK(
      LaterOther.open(frameTo(One, B, "new"), PeerTransport::Datagram, Start));
}

TEST_CASE("a restarted host is never taken for its earlier self") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  meet(One, Other, B, Start);
  std::string Late = frameTo(One, B, "late");
  // The later run has a smaller number, since runs have no order.
  PeerSessionManager LaterOne = gate(A, 5);
  meet(LaterOne, Other, B, Start + 1s);
  CHECK(Other.runOf(A) == 5);
  CHECK(refusal(Other, Late) == PeerError::EndedRun);
  // The earlier run wakes up and greets: it stays ended.
  One.greet(B, Start + 2s);
  for (const auto &Frame : One.takeHandshakes())
    CHECK(refusal(Other, Frame.Bytes) == PeerError::EndedRun);
  CHECK(Other.runOf(A) == 5);
}

TEST_CASE("a recorded answer does not open a session") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  One.greet(B, Start);
  std::string Question = One.takeHandshakes()[0].Bytes;
  CHECK(Other.open(Question, PeerTransport::Datagram, Start));
  std::string Answer = Other.takeHandshakes()[0].Bytes;
  CHECK(One.open(Answer, PeerTransport::Datagram, Start));
  CHECK(refusal(One, Answer) == PeerError::BadHandshake);
  PeerSessionManager LaterOne = gate(A, 12);
  LaterOne.greet(B, Start);
  CHECK(refusal(LaterOne, Answer) == PeerError::EarlierRun);
}

TEST_CASE("keys rotate without a stop") {
  PeerSessionManager One = gate(A, 11);
  PeerSessionManager Other = gate(B, 22);
  meet(One, Other, B, Start);
  auto Talk = [&] {
    return Other.open(frameTo(One, B, "x"), PeerTransport::Datagram, Start) &&
           One.open(frameTo(Other, A, "x"), PeerTransport::Datagram, Start);
  };
  // Each step reaches the two hosts one after the other.
  for (const auto &[SignWith, Ids] :
       {std::pair("1", "12"), std::pair("2", "12"), std::pair("2", "2")})
    for (PeerSessionManager *Gate : {&One, &Other}) {
      Gate->setKeys(KeyRing::parse(keyFile(SignWith, Ids)).value());
      CHECK(Talk());
    }
  PeerSessionManager Left = gate(HostId{3}, 33);
  Left.greet(B, Start);
  CHECK(refusal(Other, Left.takeHandshakes()[0].Bytes) ==
        PeerError::UnknownKey);
}

TEST_CASE("a damaged key file is an error") {
  for (const char *Text :
       {"", "{}", R"({"signWith":1,"keys":{}})", R"({"signWith":1,"keys":[]})",
        R"({"signWith":1,"keys":{"1":"zz"}})"})
    CHECK(KeyRing::parse(Text).error() == PeerError::BadKeyFile);
  CHECK_FALSE(KeyRing::parse(keyFile("3", "12")));
  CHECK_FALSE(KeyRing::parse(keyFile("1", "123")));
}

TEST_CASE("lengths are checked before anything is allocated") {
  std::string Huge = encodeMessage(std::vector<std::string>{"a"});
  Huge[5] = static_cast<char>(0xff);
  CHECK(decodeMessage<std::vector<std::string>>(Huge).error() ==
        PeerError::Malformed);
}
