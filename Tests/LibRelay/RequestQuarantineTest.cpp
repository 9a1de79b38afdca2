#include "LibRelay/RequestQuarantine.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const Hash128 Bad = hash128("bad");
const Hash128 Good = hash128("good");
const TimePoint Start{};

/// Several processes that receive the reports of each other without delay.
struct Fleet {
  explicit Fleet(int Size) {
    for (int I = 0; I < Size; ++I)
      this->Hosts.emplace_back("host" + std::to_string(I), QuarantinePolicy{});
  }

  void exchangeReports(TimePoint Now) {
    for (RequestQuarantine &Sender : this->Hosts)
      for (const QuarantineReport &Report : Sender.takePendingReports())
        for (RequestQuarantine &Receiver : this->Hosts)
          Receiver.onReport(Report, Now);
  }

  std::vector<RequestQuarantine> Hosts;
};

} // namespace

TEST_CASE("a request that lost three targets across hosts is quarantined on "
          "all hosts") {
  Fleet Relays(4);
  for (int I = 0; I < 3; ++I) {
    for (RequestQuarantine &Host : Relays.Hosts)
      CHECK(Host.maySend(Bad, Start));
    Relays.Hosts[I].onLost(Bad, "t" + std::to_string(I), Start + I * 10s);
    Relays.exchangeReports(Start + I * 10s);
  }
  for (RequestQuarantine &Host : Relays.Hosts) {
    CHECK_FALSE(Host.maySend(Bad, Start + 21s));
    CHECK(Host.maySend(Good, Start + 21s));
  }
}

TEST_CASE("an answer clears the losses of a request on all hosts") {
  Fleet Relays(2);
  Relays.Hosts[0].onLost(Good, "a", Start);
  Relays.Hosts[1].onLost(Good, "b", Start);
  Relays.exchangeReports(Start);
  Relays.Hosts[0].onAnswered(Good);
  Relays.exchangeReports(Start);
  for (RequestQuarantine &Host : Relays.Hosts)
    CHECK(Host.size() == 0);
  Relays.Hosts[1].onLost(Good, "c", Start + 10s);
  Relays.exchangeReports(Start + 10s);
  CHECK(Relays.Hosts[0].maySend(Good, Start + 10s));
}

TEST_CASE(
    "simultaneous losses of many targets are not attributed to a request") {
  RequestQuarantine List("host", {});
  for (int I = 0; I < 20; ++I)
    List.onLost(hash128("q" + std::to_string(I)), "t" + std::to_string(I),
                Start + I * 10ms);
  List.onLost(Good, "t1", Start + 300ms);
  List.onLost(Good, "t2", Start + 310ms);
  List.onLost(Good, "t3", Start + 320ms);
  CHECK(List.maySend(Good, Start + 400ms));
}

TEST_CASE("an expired entry is removed and its reports are retracted") {
  RequestQuarantine List("host", {});
  for (int I = 0; I < 3; ++I)
    List.onLost(Bad, "a", Start);
  CHECK(List.takePendingReports() ==
        std::vector<QuarantineReport>{{Bad, "host", 3}});
  CHECK(List.takePendingReports().empty());
  CHECK_FALSE(List.maySend(Bad, Start + 299s));
  CHECK(List.maySend(Bad, Start + 300s));
  List.expire(Start + 300s);
  CHECK(List.size() == 0);
  CHECK(List.takePendingReports() ==
        std::vector<QuarantineReport>{{Bad, "host", 0}});
}

TEST_CASE("an outdated report of this process is published again") {
  // An append that timed out takes effect after the append that followed it.
  RequestQuarantine List("host", {});
  List.onLost(Good, "a", Start);
  List.onAnswered(Good);
  List.takePendingReports();
  List.onReport({Good, "host", 1}, Start + 3s);
  CHECK(List.takePendingReports() ==
        std::vector<QuarantineReport>{{Good, "host", 0}});
  CHECK(List.maySend(Good, Start + 3s));

  List.onLost(Bad, "a", Start + 10s);
  List.onLost(Bad, "b", Start + 11s);
  List.takePendingReports();
  List.onReport({Bad, "host", 1}, Start + 12s);
  CHECK(List.takePendingReports() ==
        std::vector<QuarantineReport>{{Bad, "host", 2}});
  List.onReport({Bad, "host", 2}, Start + 12s);
  CHECK(List.takePendingReports().empty());
}
