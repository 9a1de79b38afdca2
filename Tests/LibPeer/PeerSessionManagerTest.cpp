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

PeerSessionManager makeManager(HostId Host, std::uint64_t Run) {
  return PeerSessionManager({Host, Run}, keys(), {}, Host.Value * 100 + Run);
}

/// Delivers handshake frames in both directions until there are none left.
void exchangeHandshakes(PeerSessionManager &ManagerA,
                        PeerSessionManager &ManagerB, TimePoint Now) {
  for (bool IsBusy = true; IsBusy;) {
    IsBusy = false;
    for (auto [From, To] :
         {std::pair(&ManagerA, &ManagerB), std::pair(&ManagerB, &ManagerA)})
      for (const auto &Frame : From->takeHandshakeFrames()) {
        IsBusy = true;
        (void)To->acceptFrame(Frame.Bytes, PeerTransport::Datagram, Now);
      }
  }
}

void establishSession(PeerSessionManager &ManagerA,
                      PeerSessionManager &ManagerB, HostId PeerId,
                      TimePoint Now) {
  ManagerA.sendHello(PeerId, Now);
  exchangeHandshakes(ManagerA, ManagerB, Now);
}

std::string encodeFor(PeerSessionManager &From, HostId To,
                      const std::string &Body) {
  return From.encodeFrame(To, PeerTransport::Datagram, Kind, Body).value();
}

std::error_code refusalOf(PeerSessionManager &Manager, const std::string &Frame,
                          TimePoint Now = Start) {
  return Manager.acceptFrame(Frame, PeerTransport::Datagram, Now).error();
}

} // namespace

TEST_CASE("a handshake opens both directions") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  CHECK(ManagerA.encodeFrame(B, PeerTransport::Datagram, Kind, "x").error() ==
        PeerError::NoSession);
  establishSession(ManagerA, ManagerB, B, Start);
  CHECK(ManagerA.runOf(B) == 22);
  CHECK(ManagerB.runOf(A) == 11);
  auto Message = ManagerB.acceptFrame(encodeFor(ManagerA, B, "hello"),
                                      PeerTransport::Datagram, Start);
  REQUIRE(Message);
  CHECK(Message.value()->Body == "hello");
  CHECK(Message.value()->Sender == Incarnation{A, 11});
}

TEST_CASE("replayed frames are refused, also when received out of order") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  establishSession(ManagerA, ManagerB, B, Start);
  std::vector<std::string> Frames;
  for (int Count = 0; Count < 50; ++Count)
    Frames.push_back(encodeFor(ManagerA, B, std::to_string(Count)));
  for (auto Frame = Frames.rbegin(); Frame != Frames.rend(); ++Frame)
    CHECK(ManagerB.acceptFrame(*Frame, PeerTransport::Datagram, Start));
  for (const auto &Frame : Frames)
    CHECK(refusalOf(ManagerB, Frame) == PeerError::Replayed);
  // Sequence numbers are counted for each transport, so a frame must not be
  // accepted over the other one.
  CHECK(ManagerB
            .acceptFrame(encodeFor(ManagerA, B, "x"), PeerTransport::Stream,
                         Start)
            .error() == PeerError::Malformed);
}

TEST_CASE(
    "corruption, unknown signers and unsupported versions are told apart") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  establishSession(ManagerA, ManagerB, B, Start);
  std::string Frame = encodeFor(ManagerA, B, "body");
  for (std::size_t Length = 0; Length < Frame.size(); ++Length)
    CHECK(refusalOf(ManagerB, Frame.substr(0, Length)));
  for (std::size_t Index = 0; Index < Frame.size(); ++Index) {
    std::string Damaged = Frame;
    Damaged[Index] ^= 1;
    CHECK(refusalOf(ManagerB, Damaged));
  }
  std::string OtherVersion = Frame;
  OtherVersion[1] = 9;
  CHECK(refusalOf(ManagerB, OtherVersion) == PeerError::OtherVersion);
  PeerSessionManager UnknownSigner(
      {A, 11}, KeyRing::parse(keyFile("1", "12")).value(), {}, 1);
  UnknownSigner.setKeys(KeyRing::parse(R"({"signWith":1,"keys":{"1":")" +
                                       std::string(64, 'f') + "\"}}")
                            .value());
  UnknownSigner.sendHello(B, Start);
  CHECK(refusalOf(ManagerB, UnknownSigner.takeHandshakeFrames()[0].Bytes) ==
        PeerError::BadSignature);
  CHECK(refusalOf(ManagerB, std::string(MaxDatagramBytes + 1, 'x')) ==
        PeerError::TooLarge);
  CHECK(ManagerB.acceptFrame(Frame, PeerTransport::Datagram, Start));
}

TEST_CASE("a frame for another host is refused") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  PeerSessionManager ManagerC = makeManager(HostId{3}, 33);
  establishSession(ManagerA, ManagerB, B, Start);
  CHECK(refusalOf(ManagerC, encodeFor(ManagerA, B, "x")) ==
        PeerError::OtherRecipient);
}

TEST_CASE("a recorded frame is refused after a restart of the recipient") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  establishSession(ManagerA, ManagerB, B, Start);
  std::string OldFrame = encodeFor(ManagerA, B, "old");

  PeerSessionManager RestartedB = makeManager(B, 23);
  CHECK(refusalOf(RestartedB, OldFrame) == PeerError::EarlierRun);
  // The refusal starts a handshake, by which both ends learn each other's
  // current run.
  exchangeHandshakes(RestartedB, ManagerA, Start + 1s);
  CHECK(ManagerA.runOf(B) == 23);
  CHECK(RestartedB.runOf(A) == 11);
  CHECK(refusalOf(RestartedB, OldFrame) == PeerError::EarlierRun);
  CHECK(RestartedB.acceptFrame(encodeFor(ManagerA, B, "new"),
                               PeerTransport::Datagram, Start));
}

TEST_CASE("frames of a host's earlier run are refused after its restart") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  establishSession(ManagerA, ManagerB, B, Start);
  std::string LateFrame = encodeFor(ManagerA, B, "late");
  // The later run has a smaller number: runs are not ordered.
  PeerSessionManager RestartedA = makeManager(A, 5);
  establishSession(RestartedA, ManagerB, B, Start + 1s);
  CHECK(ManagerB.runOf(A) == 5);
  CHECK(refusalOf(ManagerB, LateFrame) == PeerError::EndedRun);
  // A hello of the earlier run does not reopen its session.
  ManagerA.sendHello(B, Start + 2s);
  for (const auto &Frame : ManagerA.takeHandshakeFrames())
    CHECK(refusalOf(ManagerB, Frame.Bytes) == PeerError::EndedRun);
  CHECK(ManagerB.runOf(A) == 5);
}

TEST_CASE("a replayed handshake reply does not open a session") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  ManagerA.sendHello(B, Start);
  std::string Hello = ManagerA.takeHandshakeFrames()[0].Bytes;
  CHECK(ManagerB.acceptFrame(Hello, PeerTransport::Datagram, Start));
  std::string Reply = ManagerB.takeHandshakeFrames()[0].Bytes;
  CHECK(ManagerA.acceptFrame(Reply, PeerTransport::Datagram, Start));
  CHECK(refusalOf(ManagerA, Reply) == PeerError::BadHandshake);
  PeerSessionManager RestartedA = makeManager(A, 12);
  RestartedA.sendHello(B, Start);
  CHECK(refusalOf(RestartedA, Reply) == PeerError::EarlierRun);
}

TEST_CASE("keys rotate without downtime") {
  PeerSessionManager ManagerA = makeManager(A, 11);
  PeerSessionManager ManagerB = makeManager(B, 22);
  establishSession(ManagerA, ManagerB, B, Start);
  auto CanExchange = [&] {
    return ManagerB.acceptFrame(encodeFor(ManagerA, B, "x"),
                                PeerTransport::Datagram, Start) &&
           ManagerA.acceptFrame(encodeFor(ManagerB, A, "x"),
                                PeerTransport::Datagram, Start);
  };
  // Each rotation step is applied to one host after the other.
  for (const auto &[SignWith, Ids] :
       {std::pair("1", "12"), std::pair("2", "12"), std::pair("2", "2")})
    for (PeerSessionManager *Manager : {&ManagerA, &ManagerB}) {
      Manager->setKeys(KeyRing::parse(keyFile(SignWith, Ids)).value());
      CHECK(CanExchange());
    }
  PeerSessionManager OutdatedManager = makeManager(HostId{3}, 33);
  OutdatedManager.sendHello(B, Start);
  CHECK(refusalOf(ManagerB, OutdatedManager.takeHandshakeFrames()[0].Bytes) ==
        PeerError::UnknownKey);
}

TEST_CASE("a malformed key file is an error") {
  for (const char *Text :
       {"", "{}", R"({"signWith":1,"keys":{}})", R"({"signWith":1,"keys":[]})",
        R"({"signWith":1,"keys":{"1":"zz"}})"})
    CHECK(KeyRing::parse(Text).error() == PeerError::BadKeyFile);
  CHECK_FALSE(KeyRing::parse(keyFile("3", "12")));
  CHECK_FALSE(KeyRing::parse(keyFile("1", "123")));
}

TEST_CASE("lengths are checked before anything is allocated") {
  std::string HugeLength = encodeMessage(std::vector<std::string>{"a"});
  HugeLength[5] = static_cast<char>(0xff);
  CHECK(decodeMessage<std::vector<std::string>>(HugeLength).error() ==
        PeerError::Malformed);
}
