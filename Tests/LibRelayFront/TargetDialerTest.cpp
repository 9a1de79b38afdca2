#include "LibRelayFront/TargetDialer.h"
#include "LibNet/HttpReader.h"
#include "LibNet/TcpListener.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// A target on a port of this machine that refuses the first call on each
/// connection, and writes that refusal once more before any later answer.
struct RepeatingTarget {
  explicit RepeatingTarget(NetRuntime &Loop)
      : Tasks(Loop.hooks()),
        Port(Loop, {"127.0.0.1:0", 16, 100, {}},
             [this](const TcpConnection::Handle &Connection) {
               this->serve(Connection);
             }) {}

  void serve(const TcpConnection::Handle &Connection) {
    Event Changed;
    ScopedEventAttachment Attached(Connection, Changed);
    HttpRequestReader Reader(Connection, this->Tasks, Changed);
    std::string Refusal;
    while (
        Reader.waitForFirstByte(this->Tasks.Now() + 5s, [] { return false; })) {
      auto Message = Reader.read({1024, 1024}, this->Tasks.Now() + 1s, [] {});
      if (!Message)
        return;
      std::string Id(Message.value().Head.Headers.find("Id").value_or(""));
      auto Answer = [&](unsigned Status) {
        HttpResponseHead Head;
        Head.Status = Status;
        Head.Headers.add("Id", Id);
        return formatResponseHead(Head, BodyFraming::Length, 0);
      };
      bool IsFirst = Refusal.empty();
      if (IsFirst)
        Refusal = Answer(503);
      (void)Connection->write(IsFirst ? Refusal : Refusal + Answer(200),
                              this->Tasks.Now() + 1s);
    }
  }

  Runtime Tasks;
  TcpListener Port;
};

} // namespace

TEST_CASE("a refusal written once more: it counts as the answer to the same "
          "call that is sent again on the connection") {
  NetRuntime Loop;
  Runtime Tasks = Loop.hooks();
  RepeatingTarget Target(Loop);
  REQUIRE(Target.Port.start());
  Tasks.Spawn([&] {
    ListedTarget Listed;
    Listed.Address = "127.0.0.1:" + std::to_string(Target.Port.port());
    RelayRoute Route;
    Event Changed;
    CallerHooks Caller;
    Caller.Changed = &Changed;
    Caller.HasLeft = [] { return false; };
    {
      TargetDialer Dialer(Loop, {});
      auto Send = [&](const std::string &Id) {
        RelayCall Call;
        Call.Id = Id;
        Call.Route = &Route;
        HttpRequestHead Head;
        Head.Method = "POST";
        Head.Target = "/";
        Head.Headers.add("Id", Id);
        TimePoint Deadline = Tasks.Now() + 2s;
        auto Exchange =
            Dialer.open(Listed, Call, Head, Caller, {Deadline}).value();
        auto Answer = Exchange.ReadHead(Deadline).value();
        (void)Exchange.ReadBody(Deadline);
        if (Answer.Status == 503)
          Exchange.FinishRefused();
        else
          Exchange.Finish();
        return std::string(Answer.Headers.find("Id").value_or("")) + " " +
               std::to_string(Answer.Status);
      };
      CHECK(Send("order-1") == "order-1 503");
      // On the kept connection, the answer would be the repeated refusal while
      // the target runs the call.
      CHECK(Send("order-1") == "order-1 503");
      CHECK(Dialer.connectionsMade() == 2);
      // Another call finds the earlier refusal under its own identifier.
      CHECK(Send("order-2") == "order-1 503");
      CHECK(Dialer.connectionsMade() == 2);
      // A call without an identifier can't tell whose an answer is.
      CHECK(Send("") == " 503");
      CHECK(Dialer.connectionsMade() == 3);
      CHECK(Send("order-3") == "order-3 503");
      CHECK(Dialer.connectionsMade() == 4);
    }
    Target.Port.stop();
    // The target's tasks end when the dialer's connections are closed.
    while (Target.Port.connections() > 0)
      Tasks.sleepUntil(Tasks.Now() + 5ms);
    Loop.stop();
  });
  Loop.run();
}

// Guards against a call that reaches another run of a target than the listed
// one, which has started in between (review/2).
TEST_CASE("a target is asked for its run on the connection of the call, once") {
  NetRuntime Loop;
  Runtime Tasks = Loop.hooks();
  std::vector<std::string> Received;
  TcpListener Target(
      Loop, {"127.0.0.1:0", 16, 100, {}},
      [&](const TcpConnection::Handle &Connection) {
        Event Changed;
        ScopedEventAttachment Attached(Connection, Changed);
        HttpRequestReader Reader(Connection, Tasks, Changed);
        for (;;) {
          auto Message = Reader.read({}, Tasks.Now() + 5s, [] {});
          if (!Message)
            return;
          Received.push_back(Message.value().Head.Target);
          HttpResponseHead Head;
          Head.Status = 200;
          (void)Connection->write(
              formatResponseHead(Head, BodyFraming::Length, 2) + "77",
              Tasks.Now() + 1s);
        }
      });
  REQUIRE(Target.start());
  RunQuery Query;
  Query.MakeHead = [](const ListedTarget &) {
    HttpRequestHead Head;
    Head.Method = "GET";
    Head.Target = "/start";
    return Head;
  };
  Query.ReadAnswer = [](const ListedTarget &Listed, const HttpResponseHead &,
                        const std::string &Body) {
    if (Listed.StartedAt == 0)
      return RunAnswer::Unknown;
    return std::to_string(Listed.StartedAt) == Body ? RunAnswer::Listed
                                                    : RunAnswer::Other;
  };
  Tasks.Spawn([&] {
    {
      TargetDialer Dialer(Loop, {}, Query);
      auto Send = [&](std::int64_t ListedStart,
                      RunCheck Check) -> std::error_code {
        ListedTarget Listed;
        Listed.Address = "127.0.0.1:" + std::to_string(Target.port());
        Listed.StartedAt = ListedStart;
        RelayRoute Route;
        RelayCall Call;
        Call.Id = "call";
        Call.Route = &Route;
        HttpRequestHead Head;
        Head.Method = "POST";
        Head.Target = "/call";
        Event Changed;
        CallerHooks Caller;
        Caller.Changed = &Changed;
        Caller.HasLeft = [] { return false; };
        SendTerms Terms{Tasks.Now() + 2s, [=](Duration) { return Check; }};
        auto Exchange = Dialer.open(Listed, Call, Head, Caller, Terms);
        if (!Exchange)
          return Exchange.error();
        auto Answer = Exchange.value().ReadHead(Terms.Deadline);
        auto Body = Exchange.value().ReadBody(Terms.Deadline);
        CHECK((Answer && Body));
        Exchange.value().Finish();
        return {};
      };
      auto Take = [&] { return std::exchange(Received, {}); };
      using Paths = std::vector<std::string>;
      CHECK_FALSE(Send(77, RunCheck::OnlyListed));
      CHECK_FALSE(Send(77, RunCheck::OnlyListed));
      CHECK(Dialer.connectionsMade() == 1);
      CHECK(Take() == Paths{"/start", "/call", "/call"});
      CHECK(Send(78, RunCheck::UnlessOther) == NetError::UnexpectedPeer);
      CHECK(Send(0, RunCheck::OnlyListed) == NetError::UnexpectedPeer);
      CHECK(Take() == Paths{"/start", "/start"});
      CHECK_FALSE(Send(0, RunCheck::UnlessOther));
      CHECK(Take() == Paths{"/start", "/call"});
    }
    Target.stop();
    while (Target.connections() > 0)
      Tasks.sleepUntil(Tasks.Now() + 5ms);
    Loop.stop();
  });
  Loop.run();
}

namespace {

/// Opens one order to \p Address. The host begins to stop after \p StopsAfter,
/// and the target may get the order as long as \p MayReceive says.
/// \returns why it was not sent whole.
std::error_code openOrder(
    TargetDialer &Dialer, const Runtime &Tasks, const std::string &Address,
    Duration StopsAfter, std::string Body,
    std::function<bool()> MayReceive = [] { return true; }) {
  ListedTarget Listed;
  Listed.Address = Address;
  RelayRoute Route;
  RelayCall Call;
  Call.Id = "order-1";
  Call.Route = &Route;
  Call.Body = std::move(Body);
  HttpRequestHead Head;
  Head.Method = "POST";
  Head.Target = "/";
  Event Changed;
  bool IsStopping = StopsAfter == Duration::zero();
  CallerHooks Caller;
  Caller.Changed = &Changed;
  Caller.HasLeft = [] { return false; };
  Caller.MustAnswer = [&] { return IsStopping; };
  Caller.MaySend = [&](TimePoint, bool) { return !IsStopping; };
  bool HasStopTaskEnded = false;
  Tasks.Spawn([&] {
    Tasks.sleepUntil(Tasks.Now() + StopsAfter);
    IsStopping = true;
    Changed.notify();
    HasStopTaskEnded = true;
  });
  SendTerms Terms{Tasks.Now() + 10s};
  Terms.MayReceive = std::move(MayReceive);
  auto Opened = Dialer.open(Listed, Call, Head, Caller, Terms);
  while (!HasStopTaskEnded)
    Tasks.sleepUntil(Tasks.Now() + 1ms);
  if (!Opened)
    return Opened.error();
  Opened.value().Abort();
  return {};
}

} // namespace

// Guards against orders that were passed on though their host had begun to stop
// while they waited for a connection, or for a target that reads.
TEST_CASE("an order is not sent if its host begins to stop while it waits, and "
          "the wait ends at once") {
  NetRuntime Loop;
  Runtime Tasks = Loop.hooks();
  bool MayEnd = false;
  TcpListener Target(Loop, {"127.0.0.1:0", 16, 100, {}},
                     [&](const TcpConnection::Handle &) {
                       while (!MayEnd)
                         Tasks.sleepUntil(Tasks.Now() + 10ms);
                     });
  REQUIRE(Target.start());
  std::string Reachable = "127.0.0.1:" + std::to_string(Target.port());
  // Accepts no connection; the queue is full after one or two.
  boost::asio::ip::tcp::acceptor Full(
      Loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0}, false);
  Full.listen(0);
  std::string Unreachable =
      "127.0.0.1:" + std::to_string(Full.local_endpoint().port());
  Tasks.Spawn([&] {
    std::vector<TcpConnection::Handle> Queued;
    while (auto Connection = TcpConnection::connect(Loop, Unreachable, {},
                                                    Tasks.Now() + 100ms))
      Queued.push_back(Connection.value());
    {
      TargetDialer Dialer(Loop, {});
      CHECK(openOrder(Dialer, Tasks, Reachable, 0s, "") ==
            NetError::ConnectFailed);

      TimePoint Begin = Tasks.Now();
      CHECK(openOrder(Dialer, Tasks, Unreachable, 50ms, "") ==
            NetError::ConnectFailed);
      CHECK(Tasks.Now() - Begin < 500ms);

      // The target is taken out of use while the order waits for the
      // connection.
      int Asked = 0;
      CHECK(openOrder(Dialer, Tasks, Reachable, 50ms, "",
                      [&] { return ++Asked < 2; }) == NetError::ConnectFailed);

      // More than the kernel and the connection queue.
      constexpr std::size_t LongBody = 32 * 1024 * 1024;
      Begin = Tasks.Now();
      CHECK(openOrder(Dialer, Tasks, Reachable, 100ms,
                      std::string(LongBody, 'x')) == NetError::Cancelled);
      CHECK(Tasks.Now() - Begin < 5s);
    }
    for (const TcpConnection::Handle &Each : Queued)
      Each->abort();
    MayEnd = true;
    Target.stop();
    while (Target.connections() > 0)
      Tasks.sleepUntil(Tasks.Now() + 5ms);
    Loop.stop();
  });
  Loop.run();
}

// Guards against a health request that waits for ever, or takes the connection
// of a call.
TEST_CASE("a health request ends with the head of its response, or without one "
          "when its time is over") {
  NetRuntime Loop;
  Runtime Tasks = Loop.hooks();
  std::vector<std::string> Received;
  TcpListener Target(
      Loop, {"127.0.0.1:0", 16, 100, {}},
      [&](const TcpConnection::Handle &Connection) {
        Event Changed;
        ScopedEventAttachment Attached(Connection, Changed);
        HttpRequestReader Reader(Connection, Tasks, Changed);
        for (;;) {
          auto Message = Reader.read({}, Tasks.Now() + 5s, [] {});
          if (!Message)
            return;
          Received.push_back(Message.value().Head.Target);
          if (Received.back() == "/silent")
            continue;
          HttpResponseHead Head;
          Head.Status = 200;
          Head.Headers.add("Cold", "2500");
          (void)Connection->write(
              formatResponseHead(Head, BodyFraming::Length, 2) + "ok",
              Tasks.Now() + 1s);
        }
      });
  REQUIRE(Target.start());
  Tasks.Spawn([&] {
    {
      DialerLimits Limits;
      Limits.HealthTimeout = 50ms;
      TargetDialer Dialer(Loop, Limits);
      Event Changed;
      CallerHooks Caller;
      Caller.Changed = &Changed;
      Caller.HasLeft = [] { return false; };
      ListedTarget Listed;
      Listed.Address = "127.0.0.1:" + std::to_string(Target.port());
      HttpRequestHead Head;
      Head.Method = "GET";
      Head.Target = "/health";
      auto Answer = Dialer.ask(Listed, Head, Caller, TimePoint::max(),
                               [] { return false; });
      REQUIRE(Answer);
      CHECK(Answer->Status == 200);
      CHECK(Answer->Headers.find("Cold") == "2500");
      Head.Target = "/silent";
      // The target was taken out of use in between.
      CHECK_FALSE(Dialer.ask(Listed, Head, Caller, TimePoint::max(),
                             [] { return true; }));
      CHECK_FALSE(Dialer.ask(Listed, Head, Caller, TimePoint::max(),
                             [] { return false; }));
      CHECK(Dialer.idle() == 0);
      CHECK(Received == std::vector<std::string>{"/health", "/silent"});
    }
    Target.stop();
    while (Target.connections() > 0)
      Tasks.sleepUntil(Tasks.Now() + 5ms);
    Loop.stop();
  });
  Loop.run();
}
