#include "LibBase/Random.h"
#include "LibConfig/ConfigReplica.h"
#include "LibConfig/StateAssembler.h"
#include "LibMembership/MembershipMessages.h"
#include "LibPeer/MessageCodec.h"
#include "LibPeer/PeerSessionManager.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20260601;

/// Makes randomly mutated copies of a valid input.
class Mutator {
public:
  explicit Mutator(std::uint64_t Seed) : Generator(Seed) {}

  std::string mutate(std::string Input) {
    for (std::uint64_t Remaining = 1 + this->Generator.below(4); Remaining > 0;
         --Remaining)
      this->mutateOnce(Input);
    return Input;
  }

private:
  void mutateOnce(std::string &Input) {
    if (Input.empty()) {
      Input.push_back(static_cast<char>(this->Generator.next()));
      return;
    }
    std::size_t Position = this->Generator.below(Input.size());
    std::size_t Length = 1 + this->Generator.below(16);
    switch (this->Generator.below(6)) {
    case 0:
      Input[Position] = static_cast<char>(this->Generator.next());
      return;
    case 1:
      Input[Position] =
          static_cast<char>(Input[Position] ^ (1 << this->Generator.below(8)));
      return;
    case 2:
      Input.resize(Position);
      return;
    case 3:
      Input.erase(Position, Length);
      return;
    case 4:
      Input.insert(Position,
                   Input.substr(this->Generator.below(Input.size()), Length));
      return;
    default:
      Input.insert(Position, this->token());
    }
  }

  /// Tokens with a special meaning to parsers.
  std::string token() {
    static const std::string Tokens[] = {"{",
                                         "}",
                                         "[",
                                         "]",
                                         "\"",
                                         ":",
                                         ",",
                                         "null",
                                         "-1",
                                         "1e999",
                                         "\\u0000",
                                         "{\"$param\":\"x\"}",
                                         "18446744073709551615",
                                         "\xff\xff\xff\xff",
                                         std::string(8, '\0'),
                                         "\"extends\":\"a\",",
                                         "template/a",
                                         "true"};
    return Tokens[this->Generator.below(std::size(Tokens))];
  }

  Random Generator;
};

KeyRing keys() {
  return KeyRing::parse(R"({"signWith":1,"keys":{"1":")" +
                        std::string(64, 'a') + "\"}}")
      .value();
}

const std::string ValidEdits = R"({
  "template/a": {"parameters": {"x": 1}, "settings": {"priority":
    {"$param": "x"}, "classes": {"order": {"repeatable": false}}}},
  "template/b": {"extends": "a", "arguments": {"x": 2}},
  "team/t": {"template": "b", "settings": {"models": ["m"], "weight": 5}},
  "service/s": {"calls": [{"path": "/", "repeatable": true}]},
  "operator/o": {"roles": ["read"]}})";

ConfigChange validChange() {
  ConfigChange Change;
  Change.Id = {1, 1};
  Change.Author = "ana";
  Change.Edits = parseEdits(ValidEdits).value();
  return Change;
}

} // namespace

TEST_CASE(
    "400000 mutated frames are all refused unless unchanged, without a crash") {
  PeerSessionManager One({HostId{1}, 11}, keys(), {}, 1);
  PeerSessionManager Other({HostId{2}, 22}, keys(), {}, 2);
  constexpr TimePoint Now{1h};
  One.sendHello(HostId{2}, Now);
  for (int Round = 0; Round < 3; ++Round)
    for (auto [From, To] : {std::pair(&One, &Other), std::pair(&Other, &One)})
      for (const auto &Frame : From->takeHandshakeFrames())
        (void)To->acceptFrame(Frame.Bytes, PeerTransport::Datagram, Now);
  std::string Frame = One.encodeFrame(HostId{2}, PeerTransport::Datagram,
                                      FirstMessageKind, "body")
                          .value();
  // Only inputs with an intact layout reach the signature check.
  Mutator InputMutator(Seed);
  std::size_t AcceptedCount = 0;
  for (int Count = 0; Count < 400'000; ++Count) {
    std::string Mutated = InputMutator.mutate(Frame);
    auto Message = Other.acceptFrame(Mutated, PeerTransport::Datagram, Now);
    AcceptedCount += Message && Mutated != Frame;
  }
  CHECK(AcceptedCount == 0);
}

TEST_CASE("300000 mutated messages between hosts are decoded or refused") {
  HostRumor Rumor;
  Rumor.Address = "127.0.0.1";
  const std::string Valid[] = {
      encodeMessage(ProbeMessage{1, 2, {Rumor, Rumor}}),
      encodeMessage(NoticesMessage{{{TargetId{1}, 2}}, true}),
      encodeMessage(ConfigEntries{Offset{1}, {"a", "b"}}),
      encodeMessage(ConfigStateChunk{Offset{1}, 0, 1, "state"})};
  Mutator InputMutator(Seed);
  StateAssembler Assembler;
  for (int Count = 0; Count < 75'000; ++Count) {
    (void)decodeMessage<ProbeMessage>(InputMutator.mutate(Valid[0]));
    (void)decodeMessage<NoticesMessage>(InputMutator.mutate(Valid[1]));
    (void)decodeMessage<ConfigEntries>(InputMutator.mutate(Valid[2]));
    auto Part = decodeMessage<ConfigStateChunk>(InputMutator.mutate(Valid[3]));
    if (Part)
      (void)Assembler.addChunk(HostId{1}, Part.value(),
                               TimePoint(std::chrono::seconds(Count)));
  }
  CHECK(decodeMessage<ProbeMessage>(Valid[0]));
}

TEST_CASE("two hosts fold 200000 mutated changes to the same state") {
  const std::string Body = encodeChange(validChange());
  Mutator InputMutator(Seed);
  ConfigFold One;
  ConfigFold Other;
  std::size_t Accepted = 0;
  for (std::uint64_t Count = 0; Count < 200'000; ++Count) {
    StreamRecord Record{
        {7, Count}, {}, ConfigChangeKind, InputMutator.mutate(Body)};
    auto Verdict = One.apply(Record, {});
    Accepted += Verdict && Verdict->IsAccepted;
    // The second host folds only the first 20000, to limit the run time.
    if (Count < 20'000)
      (void)Other.apply(Record, {});
    if (Count == 19'999)
      CHECK(One.digest() == Other.digest());
  }
  CHECK(Accepted > 0);
}

TEST_CASE("100000 mutated configuration files, key files and states are read "
          "or refused") {
  Mutator InputMutator(Seed);
  const std::string KeyFile =
      R"({"signWith":1,"keys":{"1":")" + std::string(64, 'a') + "\"}}";
  ConfigReplica Source;
  Source.offer({Offset{0}, encodeBatch({recordOfChange(validChange(), {})})});
  const std::string State = Source.encodeState();
  for (int Count = 0; Count < 40'000; ++Count) {
    (void)parseEdits(InputMutator.mutate(ValidEdits));
    (void)KeyRing::parse(InputMutator.mutate(KeyFile));
  }
  for (int Count = 0; Count < 20'000; ++Count) {
    ConfigReplica Fresh;
    (void)Fresh.restore(InputMutator.mutate(State));
  }
  ConfigReplica Fresh;
  CHECK(Fresh.restore(State).value());
}
