#include "LibRelay/RequestQuarantine.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const Hash128 Bad = hash128("bad");
const Hash128 Good = hash128("good");
const TimePoint Start{};

/// Some processes that hear each other at once.
struct Fleet {
  explicit Fleet(int Size) {
    for (int I = 0; I < Size; ++I)
      this->Hosts.emplace_back("host" + std::to_string(I), CrashPolicy{});
  }

  void tell(TimePoint Now) {
    for (RequestQuarantine &Teller : this->Hosts)
      for (const CrashReport &Note : Teller.takePendingReports())
        for (RequestQuarantine &Hearer : this->Hosts)
          Hearer.onReport(Note, Now);
  }

  std::vector<RequestQuarantine> Hosts;
};

} // namespace

TEST_CASE("a content that lost three targets on any hosts is sent nowhere") {
  Fleet Relays(4);
  for (int I = 0; I < 3; ++I) {
    for (RequestQuarantine &Host : Relays.Hosts)
      CHECK(Host.maySend(Bad, Start));
    Relays.Hosts[I].onLost(Bad, "t" + std::to_string(I), Start + I * 10s);
    Relays.tell(Start + I * 10s);
  }
  for (RequestQuarantine &Host : Relays.Hosts) {
    CHECK_FALSE(Host.maySend(Bad, Start + 21s));
    CHECK(Host.maySend(Good, Start + 21s));
  }
}

TEST_CASE("an answer clears a content everywhere") {
  Fleet Relays(2);
  Relays.Hosts[0].onLost(Good, "a", Start);
  Relays.Hosts[1].onLost(Good, "b", Start);
  Relays.tell(Start);
  Relays.Hosts[0].onAnswered(Good);
  Relays.tell(Start);
  for (RequestQuarantine &Host : Relays.Hosts)
    CHECK(Host.size() == 0);
  Relays.Hosts[1].onLost(Good, "c", Start + 10s);
  Relays.tell(Start + 10s);
  CHECK(Relays.Hosts[0].maySend(Good, Start + 10s));
}

TEST_CASE("many targets lost at once are nobody's fault") {
  RequestQuarantine List("host", {});
  for (int I = 0; I < 20; ++I)
    List.onLost(hash128("q" + std::to_string(I)), "t" + std::to_string(I),
                Start + I * 10ms);
  List.onLost(Good, "t1", Start + 300ms);
  List.onLost(Good, "t2", Start + 310ms);
  List.onLost(Good, "t3", Start + 320ms);
  CHECK(List.maySend(Good, Start + 400ms));
}

TEST_CASE(
    "a content is forgotten after a while, and its notes are taken back") {
  RequestQuarantine List("host", {});
  for (int I = 0; I < 3; ++I)
    List.onLost(Bad, "a", Start);
  CHECK(List.takePendingReports() ==
        std::vector<CrashReport>{{Bad, "host", 3}});
  CHECK(List.takePendingReports().empty());
  CHECK_FALSE(List.maySend(Bad, Start + 299s));
  CHECK(List.maySend(Bad, Start + 300s));
  List.expire(Start + 300s);
  CHECK(List.size() == 0);
  CHECK(List.takePendingReports() ==
        std::vector<CrashReport>{{Bad, "host", 0}});
}

TEST_CASE("a note of this process that is out of date is written again") {
  // The load: an append without an answer lands after the one that followed it.
  RequestQuarantine List("host", {});
  List.onLost(Good, "a", Start);
  List.onAnswered(Good);
  List.takePendingReports();
  List.onReport({Good, "host", 1}, Start + 3s);
  CHECK(List.takePendingReports() ==
        std::vector<CrashReport>{{Good, "host", 0}});
  CHECK(List.maySend(Good, Start + 3s));

  List.onLost(Bad, "a", Start + 10s);
  List.onLost(Bad, "b", Start + 11s);
  List.takePendingReports();
  List.onReport({Bad, "host", 1}, Start + 12s);
  CHECK(List.takePendingReports() ==
        std::vector<CrashReport>{{Bad, "host", 2}});
  List.onReport({Bad, "host", 2}, Start + 12s);
  CHECK(List.takePendingReports().empty());
}
