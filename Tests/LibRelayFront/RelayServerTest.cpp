#include "LibRelayFront/RelayServer.h"
#include "LibObserve/StructuredLog.h"
#include "LibRelayFront/TargetDialer.h"

#include <doctest/doctest.h>
#include <list>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr Duration Grace = 4s;
/// Far longer than any call of this test.
constexpr Duration TestTimeout = 20s;

StopPolicy makeStopPolicy() {
  StopPolicy Policy;
  // Leaves time on a machine that is busy with other tests.
  Policy.AnswerTime = 500ms;
  Policy.GraceDivisor = 4;
  return Policy;
}

/// One call of a caller, and what became of it.
struct PlayedCall {
  std::string Name = {};
  CallKind Kind = CallKind::NonIdempotent;
  /// When the connection is opened, when the first part of the request is sent,
  /// and when the rest is, by the start of the stop.
  Duration ConnectAt{};
  Duration SendAt{};
  Duration CompleteAt{};
  /// How long the target works on it.
  Duration Work{};
  /// Unset if the caller waits for any time.
  std::optional<Duration> TimeLeft = std::nullopt;

  /// 0 if there was no complete answer.
  unsigned Status = 0;
  bool HasRun = false;
};

/// A host with one target, on ports of this machine, that is stopped while
/// callers send calls.
class StoppedHost {
public:
  StoppedHost()
      : Tasks(Loop.hooks()),
        Wallets({"host", "domain", "", 1}, "p", {}, makeTokenHooks(), Stats, 1),
        Dialer(Loop, {}), Dispatcher({"host#1", "domain", {}, {}, {}, 1},
                                     makeHooks(), Wallets, Stats),
        Server(Loop, makeSettings(), Dispatcher,
               [this](HttpRequestMessage Message, TimePoint Now) {
                 return this->decode(std::move(Message), Now);
               }),
        Target(Loop, {"127.0.0.1:0", 100, 100, {}},
               [this](const TcpConnection::Handle &Connection) {
                 this->serveTarget(Connection);
               }) {}

  PlayedCall &add(PlayedCall Call) {
    Call.Name = std::to_string(this->Calls.size());
    return this->Calls.emplace_back(std::move(Call));
  }

  /// Plays all calls. \returns how many were cut off at the end.
  std::size_t play() {
    startLogging("test", "test", LogLevel::Error);
    REQUIRE(this->Target.start());
    this->configure();
    REQUIRE(this->Server.start());
    this->StopsAt = this->Tasks.Now() + 500ms;
    this->RunningTasks = this->Calls.size() + 1;
    for (PlayedCall &Each : this->Calls)
      this->Tasks.Spawn([&] {
        this->call(Each);
        this->endTask();
      });
    std::size_t CutOff = 0;
    this->Tasks.Spawn([&] {
      this->Tasks.sleepUntil(this->StopsAt);
      this->Server.stop(Grace);
      CutOff = this->Server.inProgress();
      this->HasStopped = true;
      this->endTask();
    });
    this->Loop.run();
    // The tasks of connections refer to this object.
    while (this->Server.connections() + this->Target.connections() > 0)
      this->Tasks.sleepUntil(this->Tasks.Now() + 10ms);
    return CutOff;
  }

  std::list<PlayedCall> Calls;

private:
  TokenHooks makeTokenHooks() {
    TokenHooks Hooks;
    Hooks.Tasks = this->Tasks;
    Hooks.MakeLog = [](unsigned) { return WalletLog{}; };
    Hooks.SendDatagram = [](const std::string &, const std::string &) {};
    return Hooks;
  }

  static RelayServerSettings makeSettings() {
    RelayServerSettings Chosen;
    Chosen.Listen = {"127.0.0.1:0", 100, 100, {}};
    Chosen.Stop = makeStopPolicy();
    Chosen.CloseTimeout = 300ms;
    return Chosen;
  }

  RelayHooks makeHooks() {
    RelayHooks Hooks;
    Hooks.Tasks = this->Tasks;
    Hooks.LeaseClock = Hooks.Tasks.Now;
    Hooks.Open = [this](const ListedTarget &Chosen, const RelayCall &Call,
                        const HttpRequestHead &Head, const CallerHooks &Caller,
                        const SendTerms &Terms) {
      return this->Dialer.open(Chosen, Call, Head, Caller, Terms);
    };
    Hooks.MakeHead = [](const RelayCall &Call, const ListedTarget &, Duration,
                        std::optional<std::uint64_t>) { return Call.Head; };
    Hooks.Classify = [](const HttpResponseHead &, const RelayCall &) {
      return ResponseVerdict::Ran;
    };
    Hooks.ReadRateLimit = [](const HttpResponseHead &) {
      return RateLimitField{};
    };
    Hooks.MakeRefusal = [](unsigned Status, const RelayCall &,
                           std::optional<Duration>) {
      HttpResponseHead Head;
      Head.Status = Status;
      return Head;
    };
    return Hooks;
  }

  void configure() {
    auto Config = std::make_shared<RelayConfig>();
    Config->Version = 1;
    for (CallKind Kind : {CallKind::Idempotent, CallKind::NonIdempotent}) {
      RelayRoute Route;
      Route.Name = this->pathOf(Kind);
      Route.Host = "api.example";
      Route.PathPrefix = this->pathOf(Kind);
      Route.Kind = Kind;
      Route.Timeout = 60s;
      Route.MaxTargets = 2;
      Route.Services = {{"plain", 1}};
      Config->addRoute(Route);
    }
    RoutedService Service;
    Service.Name = "plain";
    Config->addService(Service);
    this->Dispatcher.setConfig(Config);
    ListedTarget Listed;
    Listed.Id = "t1";
    Listed.Service = "plain";
    Listed.Address = "127.0.0.1:" + std::to_string(this->Target.port());
    this->Dispatcher.targets().onListed(Listed, this->Tasks.Now());
  }

  static std::string pathOf(CallKind Kind) {
    return Kind == CallKind::Idempotent ? "/reads/" : "/orders/";
  }

  DecodedCall decode(HttpRequestMessage Message, TimePoint Now) {
    DecodedCall Decoded;
    RelayCall &Call = Decoded.Call;
    Call.Config = this->Dispatcher.config();
    Call.Route = Call.Config->findRoute("api.example", Message.Head.Target);
    Call.Id = Message.Head.Target;
    Call.ArrivedAt = Now;
    if (auto TimeLeft = Message.Head.Headers.find("Time-Left"))
      Call.CallerDeadline =
          Now + std::chrono::milliseconds(std::stoi(std::string(*TimeLeft)));
    Call.Head = std::move(Message.Head);
    Call.Body = std::move(Message.Body);
    return Decoded;
  }

  PlayedCall &callOf(const std::string &Path) {
    std::string Name = Path.substr(Path.rfind('/') + 1);
    return *std::find_if(this->Calls.begin(), this->Calls.end(),
                         [&](const auto &Each) { return Each.Name == Name; });
  }

  void serveTarget(const TcpConnection::Handle &Connection) {
    Event Changed;
    ScopedEventAttachment Attached(Connection, Changed);
    HttpRequestReader Reader(Connection, this->Tasks, Changed);
    while (!this->HasStopped && !Connection->hasEnded()) {
      if (!Reader.waitForFirstByte(this->Tasks.Now() + 100ms,
                                   [] { return false; }))
        continue;
      auto Message = Reader.read({}, this->Tasks.Now() + TestTimeout, [] {});
      if (!Message)
        return;
      PlayedCall &Call = this->callOf(Message.value().Head.Target);
      Call.HasRun = true;
      this->Tasks.waitUntil(Changed, this->Tasks.Now() + Call.Work, [&] {
        return Connection->hasEnded() || this->HasStopped;
      });
      HttpResponseHead Head;
      Head.Status = 200;
      (void)Connection->write(formatResponseHead(Head, BodyFraming::Length, 0),
                              this->Tasks.Now() + 1s);
    }
  }

  void call(PlayedCall &Call) {
    this->Tasks.sleepUntil(this->StopsAt + Call.ConnectAt);
    auto Connection = TcpConnection::connect(
        this->Loop, "127.0.0.1:" + std::to_string(this->Server.port()), {},
        this->Tasks.Now() + 1s);
    REQUIRE(Connection);
    Event Changed;
    ScopedEventAttachment Attached(Connection.value(), Changed);
    std::string TimeLeft =
        Call.TimeLeft
            ? "Time-Left: " +
                  std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          *Call.TimeLeft)
                          .count()) +
                  "\r\n"
            : "";
    this->Tasks.sleepUntil(this->StopsAt + Call.SendAt);
    (void)Connection.value()->write(
        "POST " + this->pathOf(Call.Kind) + Call.Name +
            " HTTP/1.1\r\nHost: api.example\r\n" + TimeLeft +
            "Content-Length: 4\r\n\r\nab",
        this->Tasks.Now() + 1s);
    this->Tasks.sleepUntil(this->StopsAt + Call.CompleteAt);
    (void)Connection.value()->write("cd", this->Tasks.Now() + 1s);
    HttpResponseReader Reader(Connection.value(), this->Tasks, Changed, false);
    auto Never = [] { return false; };
    TimePoint Deadline = this->Tasks.Now() + TestTimeout;
    auto Head = Reader.readHead(Deadline, Never);
    if (Head && Reader.readAll(10'000, Deadline, Never))
      Call.Status = Head.value().Status;
    Connection.value()->close();
  }

  void endTask() {
    if (--this->RunningTasks == 0)
      this->Loop.stop();
  }

  NetRuntime Loop;
  Runtime Tasks;
  Metrics Stats;
  TokenBroker Wallets;
  TargetDialer Dialer;
  RelayDispatcher Dispatcher;
  RelayServer Server;
  TcpListener Target;
  TimePoint StopsAt{};
  std::size_t RunningTasks = 0;
  bool HasStopped = false;
};

} // namespace

// Guards against calls that were taken late in the grace of a planned stop and
// closed at its end without an answer, orders among them.
TEST_CASE(
    "every call that is read whole while a host stops is answered, and an "
    "order that could outlast the host does not run") {
  StoppedHost Host;
  // In progress when the stop begins.
  PlayedCall &OldOrder =
      Host.add({.ConnectAt = -400ms, .SendAt = -300ms, .Work = 10s});
  OldOrder.CompleteAt = -300ms;
  PlayedCall &OldRead = Host.add({.Kind = CallKind::Idempotent,
                                  .ConnectAt = -400ms,
                                  .SendAt = -300ms,
                                  .CompleteAt = -300ms,
                                  .Work = 10s});
  // Half of its body arrives after the stop has begun.
  PlayedCall &SlowBody = Host.add({.ConnectAt = -200ms,
                                   .SendAt = -100ms,
                                   .CompleteAt = 700ms,
                                   .TimeLeft = 1s});
  std::vector<PlayedCall *> LongOrders;
  std::vector<PlayedCall *> ShortOrders;
  std::vector<PlayedCall *> Reads;
  for (Duration At = 50ms; At < 1600ms; At += 150ms) {
    PlayedCall Call{.ConnectAt = At - 20ms, .SendAt = At, .CompleteAt = At};
    LongOrders.push_back(&Host.add(Call));
    Call.TimeLeft = 1s;
    ShortOrders.push_back(&Host.add(Call));
    Call.Kind = CallKind::Idempotent;
    Call.TimeLeft.reset();
    Call.Work = 10s;
    Reads.push_back(&Host.add(Call));
  }
  CHECK(Host.play() == 0);
  CHECK(OldOrder.Status == 502);
  CHECK(OldRead.Status == 502);
  CHECK(SlowBody.Status == 200);
  for (const PlayedCall *Each : LongOrders) {
    CHECK(Each->Status == 503);
    CHECK_FALSE(Each->HasRun);
  }
  for (const PlayedCall *Each : ShortOrders)
    CHECK(Each->Status == 200);
  for (const PlayedCall *Each : Reads)
    CHECK(Each->Status == (Each->HasRun ? 502 : 503));
}
