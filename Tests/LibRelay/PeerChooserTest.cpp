#include "LibRelay/PeerChooser.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};

/// A host of the failure domain "a", with one more there and two in "b".
struct ThreePeers {
  ThreePeers() : Roster({"self", "a", "", 1}, {}) {
    this->Roster.put({"near", "a", "", 1});
    this->Roster.put({"far-1", "b", "", 1});
    this->Roster.put({"far-2", "b", "", 1});
  }

  std::string choose(TimePoint Now, const std::set<HostId> &Asked = {}) {
    auto Chosen = this->Chooser.choose(this->Roster, Asked, Now);
    return Chosen ? this->Roster.find(*Chosen)->Name : "";
  }

  static HostId id(const char *Name) { return idOfName<HostId>(Name); }

  HostRoster Roster;
  PeerChooser Chooser{1};
};

} // namespace

TEST_CASE("hosts of the own failure domain are asked first, and hosts of "
          "others while one there reaches no target") {
  ThreePeers Peers;
  for (int I = 0; I < 20; ++I)
    CHECK(Peers.choose(Begin) == "near");
  CHECK(Peers.choose(Begin, {ThreePeers::id("near")}).starts_with("far"));
  Peers.Roster.put({"near-2", "a", "", 1});
  Peers.Chooser.onVerdict(ThreePeers::id("near"), PeerVerdict::OutOfReach,
                          Begin);
  std::set<std::string> Chosen;
  for (int I = 0; I < 50; ++I)
    Chosen.insert(Peers.choose(Begin + 10ms));
  CHECK(Chosen == std::set<std::string>{"near-2", "far-1", "far-2"});
  for (int I = 0; I < 20; ++I)
    CHECK(Peers.choose(Begin + 9999ms) != "near");
  CHECK(Peers.choose(Begin + 10s).starts_with("near"));
}

TEST_CASE("a host that took no call is left out for a while, and none is left "
          "while all are") {
  ThreePeers Peers;
  for (const char *Name : {"near", "far-1", "far-2"})
    Peers.Chooser.onVerdict(ThreePeers::id(Name), PeerVerdict::OutOfReach,
                            Begin);
  CHECK(Peers.choose(Begin + 999ms).empty());
  CHECK_FALSE(Peers.choose(Begin + 1s).empty());
  TimePoint Later = Begin + 20s;
  Peers.Chooser.onVerdict(ThreePeers::id("near"), PeerVerdict::Busy, Later);
  CHECK(Peers.choose(Later + 299ms).starts_with("far"));
  CHECK(Peers.choose(Later + 300ms) == "near");
  Peers.Chooser.onLost(ThreePeers::id("near"), Later);
  CHECK(Peers.choose(Later + 1999ms).starts_with("far"));
}

TEST_CASE("calls are spread over hosts by the calls that they have") {
  ThreePeers Peers;
  Peers.Roster.remove("near", Begin);
  std::map<std::string, int> Calls;
  for (int I = 0; I < 100; ++I) {
    std::string Name = Peers.choose(Begin);
    Peers.Chooser.onStarted(idOfName<HostId>(Name));
    ++Calls[Name];
  }
  CHECK(Calls["far-1"] >= 45);
  CHECK(Calls["far-2"] >= 45);
  CHECK(Peers.Chooser.calls() == 100);
}
