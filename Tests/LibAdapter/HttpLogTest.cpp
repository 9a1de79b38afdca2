#include "LibAdapter/HttpLog.h"
#include "LibAdapter/LogWire.h"
#include "LibStandinServer/LogStandin.h"
#include "StandinFixture.h"

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

void withLog(const std::function<void(StandinTest &, const LogHooks &)> &Test) {
  RealRuntime Real;
  LogStandin Role({}, 1, Real.hooks());
  serveWhile(Real, handlerOf(Role), [&](StandinTest &Fixture) {
    Test(Fixture, makeHttpLog(Fixture.Client, Fixture.Tasks, "127.0.0.1",
                              Fixture.Server.port()));
  });
}

} // namespace

TEST_CASE(
    "binary payloads are read back unchanged, in order, with their offsets") {
  withLog([](StandinTest &Test, const LogHooks &Log) {
    const std::string Binary("\0\n\xff\x80 %", 6);
    CHECK(Log.Append("a b/c", Binary, Test.deadline()).value().Value == 0);
    CHECK(Log.Append("a b/c", "", Test.deadline()).value().Value == 1);
    LogPage Page = Log.Read("a b/c", Offset{0}, 10, 0s).value();
    REQUIRE(Page.Entries.size() == 2);
    CHECK(Page.Entries[0].Payload == Binary);
    CHECK(Page.Entries[1].At.Value == 1);
    CHECK(Page.Next.Value == 2);
  });
}

TEST_CASE(
    "an append whose response is lost is not reported as without effect") {
  withLog([](StandinTest &Test, const LogHooks &Log) {
    Test.post("/faults", {{"lose_next_answers", 1}});
    auto Lost = Log.Append("a", "x", Test.deadline());
    CHECK(Lost.error() == LogError::ResponseLost);
    CHECK_FALSE(provesNoEffect(Lost.error()));
    CHECK(Log.Read("a", Offset{0}, 10, 0s).value().Entries.size() == 1);
  });
}

TEST_CASE("an append that hangs past its deadline is not reported as without "
          "effect") {
  withLog([](StandinTest &Test, const LogHooks &Log) {
    Test.post("/faults", {{"hangs", true}});
    auto Lost = Log.Append("a", "x", Test.Tasks.Now() + 50ms);
    CHECK(Lost.error() == LogError::ResponseLost);
    Test.post("/faults", {{"hangs", false}});
  });
}

TEST_CASE("each error response of the log maps to its own error") {
  withLog([](StandinTest &Test, const LogHooks &Log) {
    Test.post("/faults", {{"is_down", true}});
    CHECK(Log.Append("a", "x", Test.deadline()).error() ==
          LogError::Unreachable);
    Test.post("/faults", {{"is_down", false}});
    auto Large = Log.Append("a", std::string(2 << 20, 'x'), Test.deadline());
    CHECK(Large.error() == LogError::TooLarge);
    CHECK(Log.Append("a", "x", Test.deadline()));
    Test.post("/log/a/truncate?below=1", {});
    CHECK(Log.Read("a", Offset{0}, 1, 0s).error() == LogError::BelowRetention);
  });
}

TEST_CASE("a log without a listener is unreachable") {
  withLog([](StandinTest &Test, const LogHooks &Log) {
    Test.Server.stop();
    CHECK(Log.Append("a", "x", Test.deadline()).error() ==
          LogError::Unreachable);
  });
}

TEST_CASE("a read waits for the first entry") {
  withLog([](StandinTest &Test, const LogHooks &Log) {
    Test.Tasks.Spawn([&] { CHECK(Log.Append("a", "x", Test.deadline())); });
    LogPage Page = Log.Read("a", Offset{0}, 10, 10s).value();
    CHECK(Page.Entries.size() == 1);
  });
}

TEST_CASE("a page that is truncated or too long is malformed") {
  LogPage Page;
  Page.Entries.push_back({Offset{3}, "payload"});
  std::string Bytes = encodeLogPage(Page);
  REQUIRE(decodeLogPage(Bytes));
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK(decodeLogPage(Bytes.substr(0, Length)).error() ==
          LogError::MalformedResponse);
  CHECK(decodeLogPage(Bytes + "x").error() == LogError::MalformedResponse);
}
