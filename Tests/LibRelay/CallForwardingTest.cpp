#include "RelayFixture.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// A relay with targets "a" to "f" that it can be cut off from, and with other
/// hosts that reach them.
class CutOffRelay : public RelayFixture {
public:
  CutOffRelay()
      : RelayFixture([this](RelayHooks &Hooks) { this->cut(Hooks); }) {
    for (const char *Id : {"a", "b", "c", "d", "e", "f"})
      this->addTarget(Id);
    this->configure();
    this->addPeer("peer-1", "domain");
    this->addPeer("peer-2", "domain");
    this->addPeer("peer-3", "other");
  }

  ~CutOffRelay() {
    this->IsCutOff = false;
    this->Simulated.runFor(1min);
  }

  void addPeer(const std::string &Name, const std::string &Domain) {
    this->Wallets.roster().put({Name, Domain, "10.0.1.1:7355", 1});
  }

  /// Serves a call, for which each target that is tried can't be connected to.
  RelayOutcome serveCutOff() {
    this->Responses.assign(8, makeUnreachable());
    this->Status = 0;
    this->Body.clear();
    return this->serve(this->makeCall());
  }

  /// Serves calls until the host has had the time to find out.
  void serveFor(Duration Span) {
    for (TimePoint End = this->Simulated.now() + Span;
         this->Simulated.now() < End;) {
      this->serveCutOff();
      this->Simulated.runFor(50ms);
    }
  }

  bool IsCutOff = true;
  /// Connections are open still, but nothing comes back on them.
  bool Hangs = false;
  /// The hosts that were asked to serve a call, and what they answer.
  std::vector<std::string> Asked;
  std::map<std::string, PeerVerdict> Verdicts;

private:
  void cut(RelayHooks &Hooks) {
    Hooks.Probe = [this](const ListedTarget &, TimePoint Deadline) {
      if (this->IsCutOff)
        this->Simulated.hooks().sleepUntil(Deadline);
      return !this->IsCutOff;
    };
    Hooks.Open = [this, Open = Hooks.Open](
                     const ListedTarget &Target, const RelayCall &Call,
                     const HttpRequestHead &Head, const CallerHooks &Caller,
                     const SendTerms &Terms) -> Result<TargetExchange> {
      if (!this->Hangs)
        return Open(Target, Call, Head, Caller, Terms);
      TargetExchange Exchange;
      Exchange.ReadHead =
          [this, Caller](TimePoint Deadline) -> Result<HttpResponseHead> {
        bool IsGivenUp = this->Simulated.hooks().waitUntil(
            *Caller.Changed, Deadline, [&] { return Caller.isGivenUp(); });
        return IsGivenUp ? NetError::Cancelled : NetError::TimedOut;
      };
      Exchange.Abort = [] {};
      return Exchange;
    };
    Hooks.Forward = [this](const RosterHost &Peer, const RelayCall &,
                           const CallerHooks &,
                           TimePoint) -> Result<PeerExchange> {
      this->Asked.push_back(Peer.Name);
      PeerAnswer Answer;
      Answer.Verdict = this->Verdicts[Peer.Name];
      Answer.Head.Status = Answer.Verdict == PeerVerdict::Took ? 200 : 503;
      PeerExchange Exchange;
      Exchange.ReadHead = [Answer](TimePoint) { return Answer; };
      Exchange.ReadBody = [Name = Peer.Name](TimePoint) {
        return BodyPiece{"by " + Name, true, false};
      };
      Exchange.Close = [] {};
      return Exchange;
    };
  }
};

} // namespace

TEST_CASE("callers of a host that reaches no target are served by way of "
          "another host") {
  CutOffRelay Relay;
  Relay.serveFor(1s);
  for (int I = 0; I < 20; ++I) {
    Relay.Asked.clear();
    RelayOutcome Outcome = Relay.serveCutOff();
    CHECK(Outcome.End == RelayEnd::Done);
    CHECK(Outcome.Sends == 0);
    CHECK(Relay.Status == 200);
    REQUIRE(Relay.Asked.size() == 1);
    CHECK(Relay.Body == "by " + Relay.Asked.front());
    Relay.Simulated.runFor(50ms);
  }
}

TEST_CASE("a call that no other host takes is refused at once, not run") {
  CutOffRelay Relay;
  Relay.Verdicts = {{"peer-1", PeerVerdict::OutOfReach},
                    {"peer-2", PeerVerdict::OutOfReach},
                    {"peer-3", PeerVerdict::Busy}};
  Relay.serveFor(1s);
  Relay.Asked.clear();
  RelayOutcome Outcome = Relay.serveCutOff();
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::OutOfReach);
  CHECK(Outcome.Total == 0ms);
  CHECK(Relay.Status == 503);
  // What the hosts said is remembered.
  Relay.Asked.clear();
  Relay.serveFor(1s);
  CHECK(Relay.Asked.size() <= 10);
}

TEST_CASE("a host that takes no call is followed by another one for the same "
          "call") {
  CutOffRelay Relay;
  Relay.Verdicts["peer-1"] = PeerVerdict::Busy;
  Relay.Verdicts["peer-2"] = PeerVerdict::OutOfReach;
  Relay.serveFor(1s);
  Relay.Simulated.runFor(2s);
  Relay.Asked.clear();
  CHECK(Relay.serveCutOff().End == RelayEnd::Done);
  CHECK(Relay.Asked.back() == "peer-3");
}

TEST_CASE("a forwarded call is never forwarded again") {
  CutOffRelay Relay;
  Relay.serveFor(1s);
  Relay.Asked.clear();
  RelayCall Call = Relay.makeCall();
  Call.ForwardedBy = "peer-1";
  RelayOutcome Outcome = Relay.serve(Call);
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::OutOfReach);
  CHECK(Relay.Asked.empty());
}

TEST_CASE("calls come back to the host's own links within a second, not all at "
          "once") {
  CutOffRelay Relay;
  Relay.serveFor(1s);
  Relay.IsCutOff = false;
  std::vector<int> Own;
  for (int Step = 0; Step < 10; ++Step) {
    Own.push_back(0);
    for (int I = 0; I < 20; ++I) {
      RelayCall Call = Relay.makeCall();
      Call.Id = "call-" + std::to_string(I);
      Relay.Responses.assign(1, CutOffRelay::makeOneEvent());
      Own.back() += Relay.serve(Call).Sends > 0 ? 1 : 0;
    }
    Relay.Simulated.runFor(100ms);
  }
  CHECK(std::is_sorted(Own.begin(), Own.end()));
  CHECK(std::count_if(Own.begin(), Own.end(),
                      [](int Sent) { return Sent > 0 && Sent < 20; }) >= 2);
  CHECK(Own.back() == 20);
}

TEST_CASE("a call that was sent before the cut and may not be repeated is not "
          "forwarded") {
  CutOffRelay Relay;
  Relay.Route.Kind = CallKind::NonIdempotent;
  Relay.configure();
  ScriptedResponse Lost;
  Lost.ConnectionError = NetError::Reset;
  Relay.Responses = {Lost};
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Relay.Status == 502);
  CHECK(Relay.Asked.empty());
}

TEST_CASE("the failures of a cut host's links are not kept against targets") {
  CutOffRelay Relay;
  Relay.serveFor(1s);
  for (const char *Id : {"a", "b", "c", "d", "e", "f"}) {
    CHECK(Relay.Dispatcher.targets().find(Id)->ConsecutiveFailures == 0);
    CHECK(Relay.Dispatcher.targets().find(Id)->BackoffUntil == TimePoint{});
  }
}

TEST_CASE("calls that wait for targets which hang are forwarded if they may be "
          "repeated, and wait on if not") {
  CutOffRelay Relay;
  bool MayRepeat = true;
  SUBCASE("they may") {}
  SUBCASE("they may not") { MayRepeat = false; }
  Relay.Route.Kind = MayRepeat ? CallKind::Idempotent : CallKind::NonIdempotent;
  Relay.configure();
  Relay.Hangs = true;
  std::vector<RelayOutcome> Outcomes(4);
  std::vector<RelayCall> Calls;
  for (std::size_t I = 0; I < Outcomes.size(); ++I) {
    Relay.Dispatcher.resends().onRequest("engines", Relay.Simulated.now());
    Calls.push_back(Relay.makeCall());
    Calls.back().Id = "call-" + std::to_string(I);
  }
  std::size_t Ended = 0;
  for (std::size_t I = 0; I < Outcomes.size(); ++I)
    Relay.Simulated.hooks().Spawn([&, I] {
      Outcomes[I] = Relay.Dispatcher.serve(Calls[I], Relay.makeCaller());
      ++Ended;
    });
  for (int I = 0; I < 10; ++I) {
    Relay.Simulated.runFor(200ms);
    Relay.Dispatcher.reach().update();
  }
  CHECK(Relay.Dispatcher.reach().isLost("engines"));
  CHECK((Ended > 0) == MayRepeat);
  CHECK(Relay.Asked.empty() != MayRepeat);
  Relay.Simulated.runFor(10s);
  CHECK(Ended == Outcomes.size());
  for (const RelayOutcome &Outcome : Outcomes)
    CHECK(Outcome.Sends == 1);
}
