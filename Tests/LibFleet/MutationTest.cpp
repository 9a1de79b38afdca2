#include "LibBase/Random.h"
#include "LibConfig/ConfigReplica.h"
#include "LibConfig/StateAssembler.h"
#include "LibMembership/MembershipMessages.h"
#include "LibPeer/MessageCodec.h"
#include "LibPeer/PeerGate.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20260601;

/// Makes damaged copies of one valid input.
class Mutator {
public:
  explicit Mutator(std::uint64_t Seed) : Dice(Seed) {}

  std::string mutate(std::string Input) {
    for (std::uint64_t Left = 1 + this->Dice.below(4); Left > 0; --Left)
      this->damage(Input);
    return Input;
  }

private:
  void damage(std::string &Input) {
    if (Input.empty()) {
      Input.push_back(static_cast<char>(this->Dice.next()));
      return;
    }
    std::size_t At = this->Dice.below(Input.size());
    std::size_t Length = 1 + this->Dice.below(16);
    switch (this->Dice.below(6)) {
    case 0:
      Input[At] = static_cast<char>(this->Dice.next());
      return;
    case 1:
      Input[At] = static_cast<char>(Input[At] ^ (1 << this->Dice.below(8)));
      return;
    case 2:
      Input.resize(At);
      return;
    case 3:
      Input.erase(At, Length);
      return;
    case 4:
      Input.insert(At, Input.substr(this->Dice.below(Input.size()), Length));
      return;
    default:
      Input.insert(At, this->token());
    }
  }

  /// Pieces that parsers treat in a special way.
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
    return Tokens[this->Dice.below(std::size(Tokens))];
  }

  Random Dice;
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

TEST_CASE("400000 damaged frames are let in or refused, and never crash") {
  PeerGate One({HostId{1}, 11}, keys(), {}, 1);
  PeerGate Other({HostId{2}, 22}, keys(), {}, 2);
  constexpr TimePoint Now{1h};
  One.greet(HostId{2}, Now);
  for (int Round = 0; Round < 3; ++Round)
    for (auto [From, To] : {std::pair(&One, &Other), std::pair(&Other, &One)})
      for (const auto &Frame : From->takeHandshakes())
        (void)To->open(Frame.Bytes, PeerTransport::Datagram, Now);
  std::string Frame =
      One.seal(HostId{2}, PeerTransport::Datagram, FirstMessageKind, "body")
          .value();
  // One signature is checked for each input that is whole enough.
  Mutator Damage(Seed);
  std::size_t LetIn = 0;
  for (int Count = 0; Count < 400'000; ++Count) {
    std::string Damaged = Damage.mutate(Frame);
    auto Opened = Other.open(Damaged, PeerTransport::Datagram, Now);
    LetIn += Opened && Damaged != Frame;
  }
  CHECK(LetIn == 0);
}

TEST_CASE("300000 damaged messages of hosts are decoded or refused") {
  HostRumor Rumor;
  Rumor.Address = "127.0.0.1";
  const std::string Valid[] = {
      encodeMessage(ProbeMessage{1, 2, {Rumor, Rumor}}),
      encodeMessage(NoticesMessage{{{TargetId{1}, 2}}, true}),
      encodeMessage(ConfigEntries{Offset{1}, {"a", "b"}}),
      encodeMessage(ConfigStateChunk{Offset{1}, 0, 1, "state"})};
  Mutator Damage(Seed);
  StateAssembler Assembler;
  for (int Count = 0; Count < 75'000; ++Count) {
    (void)decodeMessage<ProbeMessage>(Damage.mutate(Valid[0]));
    (void)decodeMessage<NoticesMessage>(Damage.mutate(Valid[1]));
    (void)decodeMessage<ConfigEntries>(Damage.mutate(Valid[2]));
    auto Part = decodeMessage<ConfigStateChunk>(Damage.mutate(Valid[3]));
    if (Part)
      (void)Assembler.addChunk(HostId{1}, Part.value(),
                               TimePoint(std::chrono::seconds(Count)));
  }
  CHECK(decodeMessage<ProbeMessage>(Valid[0]));
}

TEST_CASE("200000 damaged changes are folded alike by two hosts") {
  const std::string Body = encodeChange(validChange());
  Mutator Damage(Seed);
  ConfigFold One;
  ConfigFold Other;
  std::size_t Accepted = 0;
  for (std::uint64_t Count = 0; Count < 200'000; ++Count) {
    StreamRecord Record{{7, Count}, {}, ConfigChangeKind, Damage.mutate(Body)};
    auto Verdict = One.apply(Record, {});
    Accepted += Verdict && Verdict->IsAccepted;
    // The second host is there for a part of them, as it takes its time.
    if (Count < 20'000)
      (void)Other.apply(Record, {});
    if (Count == 19'999)
      CHECK(One.digest() == Other.digest());
  }
  CHECK(Accepted > 0);
}

TEST_CASE("100000 damaged files, key files and states are read or refused") {
  Mutator Damage(Seed);
  const std::string KeyFile =
      R"({"signWith":1,"keys":{"1":")" + std::string(64, 'a') + "\"}}";
  ConfigReplica Source;
  Source.offer({Offset{0}, encodeBatch({recordOfChange(validChange(), {})})});
  const std::string State = Source.encodeState();
  for (int Count = 0; Count < 40'000; ++Count) {
    (void)parseEdits(Damage.mutate(ValidEdits));
    (void)KeyRing::parse(Damage.mutate(KeyFile));
  }
  for (int Count = 0; Count < 20'000; ++Count) {
    ConfigReplica Fresh;
    (void)Fresh.restore(Damage.mutate(State));
  }
  ConfigReplica Fresh;
  CHECK(Fresh.restore(State).value());
}
