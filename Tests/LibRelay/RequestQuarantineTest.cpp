#include "LibRelay/RequestQuarantine.h"

#include "LibObserve/StructuredLog.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const RequestTraits Bad = {hash128("bad"), {}};
const RequestTraits Good = {hash128("good"), {}};
const TimePoint Start{std::chrono::hours(1)};

/// Several processes that receive the reports of each other without delay.
struct Fleet {
  explicit Fleet(int Size) {
    startLogging("test", "test", LogLevel::Error);
    for (int I = 0; I < Size; ++I)
      this->Hosts.emplace_back(
          "host" + std::to_string(I), QuarantinePolicy{},
          [](const Hash128 &, std::uint64_t) { return true; });
  }

  void exchangeReports(TimePoint Now) {
    for (RequestQuarantine &Sender : this->Hosts)
      for (const QuarantineReport &Report : Sender.takePendingReports(Now))
        for (RequestQuarantine &Receiver : this->Hosts)
          Receiver.onReport(Report, Now);
  }

  std::vector<RequestQuarantine> Hosts;
};

RequestTraits traitsOf(const std::string &Content,
                       std::vector<std::string> Parts) {
  RequestTraits Traits = {hash128(Content), {}};
  for (const std::string &Part : Parts)
    Traits.Parts.push_back(hash128(Part));
  std::sort(Traits.Parts.begin(), Traits.Parts.end());
  return Traits;
}

/// Loses one target after the other to requests with these parts.
void loseTargets(RequestQuarantine &List, std::vector<std::string> Parts,
                 int Count, TimePoint From) {
  for (int I = 0; I < Count; ++I) {
    std::string Name = Parts.back() + std::to_string(I);
    List.onLost(traitsOf(Name, Parts), Name, From + I * 1s,
                From + I * 1s + 100ms);
  }
  List.update(From + Count * 1s);
  List.update(From + Count * 1s + 1s);
}

bool maySend(const RequestQuarantine &List, const RequestTraits &Traits,
             TimePoint Now) {
  return List.admission(Traits, Now) < SendAdmission::Busy;
}

} // namespace

TEST_CASE("a request that lost three targets across hosts is quarantined on "
          "all hosts") {
  Fleet Relays(4);
  for (int I = 0; I < 3; ++I) {
    for (RequestQuarantine &Host : Relays.Hosts)
      CHECK(maySend(Host, Bad, Start));
    Relays.Hosts[I].onLost(Bad, "t" + std::to_string(I), Start + I * 10s,
                           Start + I * 10s);
    Relays.exchangeReports(Start + I * 10s);
  }
  for (RequestQuarantine &Host : Relays.Hosts) {
    CHECK_FALSE(maySend(Host, Bad, Start + 21s));
    CHECK(maySend(Host, Good, Start + 21s));
  }
}

TEST_CASE("an answer clears the losses of a request on all hosts") {
  Fleet Relays(2);
  Relays.Hosts[0].onLost(Good, "a", Start, Start);
  Relays.Hosts[1].onLost(Good, "b", Start, Start);
  Relays.exchangeReports(Start);
  Relays.Hosts[0].onAnswered(Good, Start);
  Relays.exchangeReports(Start);
  for (RequestQuarantine &Host : Relays.Hosts)
    CHECK(Host.size() == 0);
  Relays.Hosts[1].onLost(Good, "c", Start + 10s, Start + 10s);
  Relays.exchangeReports(Start + 10s);
  CHECK(maySend(Relays.Hosts[0], Good, Start + 10s));
}

TEST_CASE(
    "simultaneous losses of many targets are not attributed to a request") {
  Fleet Relay(1);
  RequestQuarantine &List = Relay.Hosts[0];
  for (int I = 0; I < 20; ++I)
    List.onLost({hash128("q" + std::to_string(I)), {}}, "t" + std::to_string(I),
                Start, Start + I * 10ms);
  List.onLost(Good, "t1", Start + 300ms, Start + 300ms);
  List.onLost(Good, "t2", Start + 310ms, Start + 310ms);
  List.onLost(Good, "t3", Start + 320ms, Start + 320ms);
  CHECK(maySend(List, Good, Start + 400ms));
  // Nor later, when the other losses are long past.
  for (TimePoint Now = Start; Now < Start + 4min; Now += 10s)
    List.update(Now);
  CHECK(maySend(List, Good, Start + 4min));
}

TEST_CASE("an expired entry may be probed and is removed if it is not used") {
  Fleet Relay(1);
  RequestQuarantine &List = Relay.Hosts[0];
  for (const char *Target : {"a", "b", "c"})
    List.onLost(Bad, Target, Start - 1s, Start);
  CHECK(maySend(List, Bad, Start));
  for (const char *Target : {"d", "e", "f"})
    List.onLost(Bad, Target, Start - 1s, Start + 1s);
  for (const char *Target : {"g", "h", "i"})
    List.onLost(Bad, Target, Start - 1s, Start + 2s);
  CHECK_FALSE(maySend(List, Bad, Start + 301s));
  CHECK(List.admit(Bad, Start + 302s) == SendAdmission::Probe);
  CHECK(List.admit(Bad, Start + 302s) == SendAdmission::Busy);
  List.endProbe(Bad);
  List.onLost(Bad, "j", Start + 302s, Start + 303s);
  CHECK(List.admit(Bad, Start + 304s) == SendAdmission::Refused);
  List.update(Start + 603s);
  CHECK(List.size() == 1);
  List.takePendingReports(Start + 603s);
  List.update(Start + 605s);
  CHECK(List.size() == 0);
  auto Reports = List.takePendingReports(Start + 605s);
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Kind == QuarantineReportKind::Cleared);
  CHECK(Reports[0].WasQuarantined);
}

TEST_CASE("a report that arrives twice or of this process counts once") {
  Fleet Relays(2);
  Relays.Hosts[0].onLost(Bad, "a", Start, Start);
  auto First = Relays.Hosts[0].takePendingReports(Start);
  REQUIRE(First.size() == 1);
  Relays.Hosts[1].onReport(First[0], Start);
  Relays.Hosts[1].onAnswered(Bad, Start);
  // The same report through the log, after an answer.
  Relays.Hosts[1].onReport(First[0], Start + 1s);
  CHECK(Relays.Hosts[1].size() == 0);
  Relays.Hosts[0].onReport(First[0], Start + 1s);
  CHECK(Relays.Hosts[0].size() == 1);
}

TEST_CASE("the part that all crashed requests share is quarantined, and its "
          "neighbours are not") {
  Fleet Relay(1);
  RequestQuarantine &List = Relay.Hosts[0];
  for (int I = 0; I < 4; ++I) {
    std::string Number = std::to_string(I);
    List.onAnswered(traitsOf("sound" + Number, {"first", "other"}),
                    Start + I * 1s);
    List.onLost(traitsOf("crashed" + Number, {"first", "deadly", Number}),
                "t" + Number, Start + I * 1s, Start + I * 1s + 100ms);
    // Forty others are lost with it.
    for (int J = 0; J < 40; ++J)
      List.onLost(traitsOf("lost" + Number + "." + std::to_string(J),
                           {"first", "subject" + std::to_string(40 * I + J)}),
                  "t" + Number, Start + I * 1s, Start + I * 1s + 100ms);
  }
  List.update(Start + 4s);
  CHECK_FALSE(maySend(List, traitsOf("new", {"deadly"}), Start + 5s));
  CHECK(maySend(List, traitsOf("new", {"first", "other"}), Start + 5s));
  CHECK(maySend(List, traitsOf("new", {"first", "subject7", "1"}), Start + 5s));
  CHECK(List.quarantined() == 1);
}

TEST_CASE("two parts that only crashed together are refused together, and one "
          "of them is probed") {
  Fleet Relay(1);
  RequestQuarantine &List = Relay.Hosts[0];
  loseTargets(List, {"left", "right"}, 3, Start);
  CHECK_FALSE(maySend(List, traitsOf("new", {"left", "right"}), Start + 5s));
  RequestTraits Alone = traitsOf("alone", {"left"});
  CHECK(List.admit(Alone, Start + 5s) == SendAdmission::Probe);
  CHECK(List.admit(traitsOf("other", {"left"}), Start + 5s) ==
        SendAdmission::Busy);
  List.endProbe(Alone);
  SUBCASE("the one that was answered is cleared") {
    List.onAnswered(Alone, Start + 6s);
    CHECK(List.admit(Alone, Start + 7s) == SendAdmission::Allowed);
    CHECK_FALSE(maySend(List, traitsOf("new", {"right"}), Start + 7s));
  }
  SUBCASE("the one that crashed a target is refused alone") {
    List.onLost(Alone, "probed", Start + 5s, Start + 6s);
    CHECK(List.admit(traitsOf("new", {"left"}), Start + 7s) ==
          SendAdmission::Refused);
  }
}

TEST_CASE("repetitions of one request do not blame its parts") {
  Fleet Relay(1);
  RequestQuarantine &List = Relay.Hosts[0];
  RequestTraits Repeated = traitsOf("same", {"part"});
  for (int I = 0; I < 4; ++I)
    List.onLost(Repeated, "t" + std::to_string(I), Start + I * 1s,
                Start + I * 1s + 100ms);
  List.update(Start + 5s);
  List.update(Start + 6s);
  CHECK_FALSE(maySend(List, Repeated, Start + 6s));
  CHECK(List.admit(traitsOf("new", {"part"}), Start + 6s) ==
        SendAdmission::Allowed);
}

TEST_CASE("a part that is under suspicion elsewhere is cleared by an answer "
          "here") {
  Fleet Relays(3);
  Relays.Hosts[2].onAnswered(traitsOf("sound", {"popular"}), Start + 2500ms);
  loseTargets(Relays.Hosts[0], {"popular"}, 3, Start);
  CHECK_FALSE(
      maySend(Relays.Hosts[0], traitsOf("new", {"popular"}), Start + 4s));
  Relays.Hosts[2].onAnswered(traitsOf("sound", {"popular"}), Start + 4s);
  Relays.exchangeReports(Start + 4s);
  Relays.exchangeReports(Start + 4s);
  for (RequestQuarantine &Host : Relays.Hosts)
    CHECK(maySend(Host, traitsOf("new", {"popular"}), Start + 4s));
}
