#include "../LibHttp/RawServer.h"
#include "LibObserve/StructuredLog.h"
#include "LibRelayFront/ForwardedCallReader.h"
#include "LibRelayFront/PeerDialer.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

KeyRing makeKeys(char Digit) {
  return KeyRing::parse(R"({"signWith": 1, "keys": {"1": ")" +
                        std::string(64, Digit) + "\"}}")
      .value();
}

const Incarnation SenderRun{idOfName<HostId>("a"), 7};

/// A host "b" with one target, on ports of this machine, to which a host "a"
/// forwards calls.
class ReceivingHost {
public:
  ReceivingHost()
      : Tasks(Loop.hooks()),
        Wallets({"b", "domain", "", 9}, "p", {}, makeTokenHooks(), Stats, 1),
        Dialer(Loop, {}), Dispatcher({"b#1", "domain", {}, {}, {}, 1},
                                     makeHooks(), Wallets, Stats),
        Seal({idOfName<HostId>("b"), 9}, [this] { return &this->Keys; }),
        Reader(Seal, makeReaderHooks()),
        Server(Loop, {{"127.0.0.1:0", 16, 16, {}}, {}}, Dispatcher,
               [this](HttpRequestMessage Message, TimePoint Now) {
                 return this->Reader.read(std::move(Message), Now);
               }),
        Target(Loop, {"127.0.0.1:0", 16, 16, {}},
               [this](const TcpConnection::Handle &Connection) {
                 this->serveTarget(Connection);
               }),
        SenderSeal(SenderRun, [this] { return &this->SenderKeys; }),
        Sender(Dialer, SenderSeal, Tasks) {}

  /// Runs \p Test in a task.
  void play(const std::function<void()> &Test) {
    startLogging("test", "test", LogLevel::Error);
    REQUIRE(this->Server.start());
    REQUIRE(this->Target.start());
    this->configure();
    this->Tasks.Spawn([&] {
      Test();
      this->HasLeft = true;
      while (this->Server.connections() + this->Target.connections() > 0)
        this->Tasks.sleepUntil(this->Tasks.Now() + 5ms);
      this->Server.stop(0s);
      this->Target.stop();
      this->Loop.stop();
    });
    this->Loop.run();
  }

  RelayCall makeCall() const {
    RelayCall Call;
    Call.Id = "call-1";
    Call.Head.Method = "POST";
    Call.Head.Target = "/orders/1";
    Call.Head.Headers.add("Host", "api.example");
    Call.Head.Headers.add("Own", "field");
    Call.Body = "a body";
    Call.Config = this->Dispatcher.config();
    Call.Route = Call.Config->findRoute("api.example", "/orders/1");
    Call.ArrivedAt = this->Tasks.Now();
    return Call;
  }

  Result<PeerExchange> forward(const RelayCall &Call) {
    return this->forwardTo(this->address(), Call);
  }

  Result<PeerExchange> forwardTo(const std::string &Address,
                                 const RelayCall &Call) {
    CallerHooks Caller;
    Caller.Changed = &this->Changed;
    Caller.HasLeft = [this] { return this->HasLeft; };
    return this->Sender.forward({"b", "domain", Address, 9}, Call, Caller,
                                this->Tasks.Now() + 5s);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Server.port());
  }

  NetRuntime Loop;
  Runtime Tasks;
  Event Changed;
  bool HasLeft = false;
  KeyRing Keys = makeKeys('a');
  KeyRing SenderKeys = makeKeys('a');
  RelayReason Refusal = RelayReason::None;
  std::uint64_t ConfigVersion = 1;
  /// Another server that is listed as the target.
  std::optional<std::string> OtherTarget;
  /// How long the target works, what it received, and whether its connection
  /// ended before that.
  Duration Work{};
  std::vector<HttpRequestMessage> Received;
  bool WasCutOff = false;

private:
  static TokenHooks makeTokenHooks() {
    TokenHooks Hooks;
    Hooks.MakeLog = [](unsigned) { return WalletLog{}; };
    Hooks.SendDatagram = [](const std::string &, const std::string &) {};
    return Hooks;
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

  ForwardedCallHooks makeReaderHooks() {
    ForwardedCallHooks Hooks;
    Hooks.Decode = [this](HttpRequestMessage Message, TimePoint Now) {
      DecodedCall Decoded;
      Decoded.Call = this->makeCall();
      Decoded.Call.ArrivedAt = Now;
      Decoded.Call.Head = std::move(Message.Head);
      Decoded.Call.Body = std::move(Message.Body);
      return Decoded;
    };
    Hooks.Refuse = [this] { return this->Refusal; };
    Hooks.ConfigVersion = [this] { return this->ConfigVersion; };
    Hooks.NameOf = [](HostId) { return "a"; };
    return Hooks;
  }

  void configure() {
    auto Config = std::make_shared<RelayConfig>();
    Config->Version = 1;
    RelayRoute Route;
    Route.Host = "api.example";
    Route.PathPrefix = "/orders/";
    Route.Kind = CallKind::NonIdempotent;
    Route.Timeout = 5s;
    Route.Services = {{"plain", 1}};
    Config->addRoute(Route);
    RoutedService Service;
    Service.Name = "plain";
    Config->addService(Service);
    this->Dispatcher.setConfig(Config);
    ListedTarget Listed;
    Listed.Id = "t1";
    Listed.Service = "plain";
    Listed.Address = this->OtherTarget.value_or(
        "127.0.0.1:" + std::to_string(this->Target.port()));
    this->Dispatcher.targets().onListed(Listed, this->Tasks.Now());
  }

  void serveTarget(const TcpConnection::Handle &Connection) {
    Event Arrived;
    ScopedEventAttachment Attached(Connection, Arrived);
    HttpRequestReader Requests(Connection, this->Tasks, Arrived);
    if (!Requests.waitForFirstByte(this->Tasks.Now() + 5s,
                                   [] { return false; }))
      return;
    auto Message = Requests.read({}, this->Tasks.Now() + 1s, [] {});
    if (!Message)
      return;
    this->Received.push_back(std::move(Message.value()));
    this->WasCutOff =
        this->Tasks.waitUntil(Arrived, this->Tasks.Now() + this->Work,
                              [&] { return Connection->hasEnded(); });
    HttpResponseHead Head;
    Head.Status = 201;
    Head.KeepAlive = false;
    (void)Connection->write(formatResponseHead(Head, BodyFraming::Length, 4) +
                                "done",
                            this->Tasks.Now() + 1s);
    Connection->finish(this->Tasks.Now() + 1s);
  }

  Metrics Stats;
  TokenBroker Wallets;
  TargetDialer Dialer;
  RelayDispatcher Dispatcher;
  ForwardSeal Seal;
  ForwardedCallReader Reader;
  RelayServer Server;
  TcpListener Target;
  ForwardSeal SenderSeal;
  PeerDialer Sender;
};

} // namespace

TEST_CASE("a forwarded call reaches a target of the other host as its caller "
          "sent it, and is answered") {
  ReceivingHost Host;
  Host.play([&] {
    auto Exchange = Host.forward(Host.makeCall());
    REQUIRE(Exchange);
    auto Answer = Exchange.value().ReadHead(Host.Tasks.Now() + 2s);
    REQUIRE(Answer);
    CHECK(Answer.value().Verdict == PeerVerdict::Took);
    CHECK(Answer.value().Head.Status == 201);
    auto Piece = Exchange.value().ReadBody(Host.Tasks.Now() + 2s);
    REQUIRE(Piece);
    CHECK(Piece.value().Bytes == "done");
    Exchange.value().Close();
    REQUIRE(Host.Received.size() == 1);
    const HttpRequestMessage &Request = Host.Received.front();
    CHECK(Request.Body == "a body");
    CHECK(Request.Head.Target == "/orders/1");
    std::vector<HeaderField> Fields = Request.Head.Headers.fields();
    CHECK(Fields[0] == HeaderField{"Host", "api.example"});
    CHECK(Fields[1] == HeaderField{"Own", "field"});
    CHECK_FALSE(Request.Head.Headers.find("Relay-Forwarded"));
  });
}

TEST_CASE("a host that takes no forwarded call says so, and why") {
  ReceivingHost Host;
  PeerVerdict Expected = PeerVerdict::Busy;
  SUBCASE("it stops") { Host.Refusal = RelayReason::Stopping; }
  SUBCASE("its configuration is older") { Host.ConfigVersion = 0; }
  SUBCASE("it has no place for more calls") {
    Host.Refusal = RelayReason::CannotStart;
  }
  SUBCASE("it reaches no target") {
    Host.Refusal = RelayReason::OutOfReach;
    Expected = PeerVerdict::OutOfReach;
  }
  Host.play([&] {
    auto Exchange = Host.forward(Host.makeCall());
    REQUIRE(Exchange);
    auto Answer = Exchange.value().ReadHead(Host.Tasks.Now() + 2s);
    REQUIRE(Answer);
    CHECK(Answer.value().Verdict == Expected);
    CHECK(Answer.value().Head.Status == 503);
    Exchange.value().Close();
    CHECK(Host.Received.empty());
  });
}

TEST_CASE("a request that no host of the fleet has signed is not served") {
  ReceivingHost Host;
  Host.SenderKeys = makeKeys('b');
  Host.play([&] {
    auto Exchange = Host.forward(Host.makeCall());
    REQUIRE(Exchange);
    auto Answer = Exchange.value().ReadHead(Host.Tasks.Now() + 2s);
    REQUIRE_FALSE(Answer);
    CHECK(Answer.error() == NetError::Malformed);
    Exchange.value().Close();
    CHECK(Host.Received.empty());
  });
}

TEST_CASE("when the caller leaves, the target of the other host is left too") {
  ReceivingHost Host;
  Host.Work = 3s;
  Host.play([&] {
    auto Exchange = Host.forward(Host.makeCall());
    REQUIRE(Exchange);
    Host.Tasks.sleepUntil(Host.Tasks.Now() + 200ms);
    TimePoint LeftAt = Host.Tasks.Now();
    Host.HasLeft = true;
    Host.Changed.notify();
    CHECK_FALSE(Exchange.value().ReadHead(Host.Tasks.Now() + 5s));
    Exchange.value().Close();
    while (!Host.WasCutOff && Host.Tasks.Now() < LeftAt + 2s)
      Host.Tasks.sleepUntil(Host.Tasks.Now() + 5ms);
    CHECK(Host.Received.size() == 1);
    CHECK(Host.WasCutOff);
    CHECK(Host.Tasks.Now() - LeftAt < 500ms);
  });
}

namespace {

/// Beyond what the kernel of a RawServer receives ahead.
constexpr std::size_t LongBodyBytes = 250'000;

/// Answers to an order that are no HTTP/1.1 responses, or not whole ones.
std::vector<RawResponse> brokenResponses() {
  const std::string Length = "Content-Length: 4\r\n\r\npart";
  return {{"HTTP/1.1 000 Text\r\n" + Length},
          {"HTTP/1.1 600 Text\r\n" + Length},
          {"HTTP/1.1 101 Text\r\n\r\nHTTP/1.1 201 Text\r\n" + Length},
          {"HTTP/1.1 201 Text\r\nNa me: 1\r\n" + Length},
          {"HTTP/1.1 201 Text\r\nNa\x01me: 1\r\n" + Length},
          {"HTTP/1.1 201 Text\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
           "4\r\npart\r\n0\r\n\r\n"},
          {"HTTP/1.1 201 Text\r\n\r\npart", 0, ServerEnd::Close},
          {"HTTP/1.1 201 Text\r\n\r\npart", 0, ServerEnd::Reset},
          {"HTTP/1.1 201 Text\r\n\r\npart", 0, ServerEnd::HalfClose},
          {"HTTP/1.1 201 Text\r\n\r\npart", 0, ServerEnd::HalfCloseThenReset}};
}

} // namespace

TEST_CASE("a broken answer of a target does not get through by way of another "
          "host") {
  for (const RawResponse &Response : brokenResponses()) {
    CAPTURE(Response.Bytes);
    CAPTURE(static_cast<int>(Response.End));
    RawServer Target([&](const std::string &) { return Response; });
    ReceivingHost Host;
    Host.OtherTarget = Target.address();
    Host.play([&] {
      RelayCall Call = Host.makeCall();
      Call.Body.assign(LongBodyBytes, 'x');
      auto Exchange = Host.forward(Call);
      REQUIRE(Exchange);
      auto Answer = Exchange.value().ReadHead(Host.Tasks.Now() + 2s);
      REQUIRE(Answer);
      CHECK(Answer.value().Verdict == PeerVerdict::Took);
      CHECK(Answer.value().Head.Status == 502);
      auto Piece = Exchange.value().ReadBody(Host.Tasks.Now() + 2s);
      REQUIRE(Piece);
      CHECK(Piece.value().Bytes.find("\"unknown\"") != std::string::npos);
      Exchange.value().Close();
    });
  }
}

TEST_CASE("a host that answers a forwarded call with bytes that are no answer "
          "has not answered") {
  for (const RawResponse &Response : brokenResponses()) {
    CAPTURE(Response.Bytes);
    RawServer Other([&](const std::string &) { return Response; });
    ReceivingHost Host;
    Host.play([&] {
      auto Exchange = Host.forwardTo(Other.address(), Host.makeCall());
      REQUIRE(Exchange);
      auto Answer = Exchange.value().ReadHead(Host.Tasks.Now() + 2s);
      REQUIRE_FALSE(Answer);
      CHECK(Answer.error() == NetError::Malformed);
      Exchange.value().Close();
    });
  }
}
