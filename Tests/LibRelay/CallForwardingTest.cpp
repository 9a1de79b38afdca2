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
