#include "LibNet/MemoryBudget.h"
#include "ConnectionPair.h"

#include <algorithm>
#include <rapidcheck.h>

using namespace bergamothook;

namespace {

constexpr MemoryPolicy Policy{1000, 10};
constexpr unsigned Accounts = 30;
constexpr unsigned Owners = 6;

} // namespace

TEST_CASE("an account that asks for more than is left is refused, and keeps "
          "what it holds") {
  MemoryBudget Budget(Policy);
  auto Greedy = Budget.open({1});
  CHECK(Budget.resize(Greedy, 510));
  CHECK_FALSE(Budget.resize(Greedy, 511));
  CHECK(Budget.usedBytes() == 500);
  CHECK(Budget.refusals() == 1);
  auto Other = Budget.open({2});
  CHECK(Budget.resize(Other, 250));
  CHECK(Budget.resize(Greedy, 0));
  Budget.close(Other);
  CHECK(Budget.usedBytes() == 0);
}

TEST_CASE("one target or team gets half of the memory at the most, with any "
          "number of calls") {
  MemoryBudget Budget(Policy);
  for (unsigned I = 0; I < Accounts; ++I)
    Budget.resize(Budget.open({1, 100 + I}), 60);
  CHECK(Budget.usedBytes() == 500);
  auto Other = Budget.open({2, 3});
  CHECK(Budget.resize(Other, 200));
}

// Guards against memory that grows with the number of peers that send without
// end (review/5).
TEST_CASE("the sum stays below the limit, and some is left for a newcomer, "
          "whatever is asked for") {
  setenv("RC_PARAMS", "seed=1 max_success=200", 1);
  CHECK(rc::check([] {
    MemoryBudget Budget(Policy);
    std::vector<MemoryBudget::AccountId> Open;
    std::vector<std::size_t> Held;
    for (unsigned I = 0; I < Accounts; ++I) {
      Open.push_back(Budget.open({*rc::gen::inRange<MemoryOwner>(1, Owners),
                                  *rc::gen::inRange<MemoryOwner>(1, Owners)}));
      Held.push_back(0);
    }
    for (unsigned Step = 0; Step < 100; ++Step) {
      auto I = *rc::gen::inRange<std::size_t>(0, Accounts);
      auto Bytes = *rc::gen::inRange<std::size_t>(0, 400);
      if (Budget.resize(Open[I], Bytes))
        Held[I] = Bytes - std::min(Bytes, Policy.FreeBytes);
      else
        RC_ASSERT(Bytes - std::min(Bytes, Policy.FreeBytes) > Held[I]);
      std::size_t Sum = 0;
      for (std::size_t Each : Held)
        Sum += Each;
      RC_ASSERT(Budget.usedBytes() == Sum);
      RC_ASSERT(Sum < Policy.MaxBytes);
    }
    for (auto Each : Open)
      Budget.close(Each);
    RC_ASSERT(Budget.usedBytes() == 0U);
  }));
}

TEST_CASE("a connection whose bytes find no memory fails its message at once, "
          "and others are read") {
  ConnectionPair Connections;
  auto Budget = std::make_shared<MemoryBudget>(MemoryPolicy{200'000, 8 * 1024});
  REQUIRE(Budget->resize(Budget->open({1}), 100'000));
  Connections.Limits.Memory = Budget;
  Connections.Limits.Owners = {1};
  auto Answer = Connections.readAnswer(
      "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" +
      std::string(500'000, 'x'));
  CHECK(Answer.Failure == NetError::OutOfMemory);
  ConnectionPair Others;
  Others.Limits.Memory = Budget;
  Others.Limits.Owners = {2};
  Answer =
      Others.readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" +
                        std::string(20'000, 'x'));
  CHECK_FALSE(Answer.Failure);
  CHECK(Answer.Body.size() == 20'000);
}

// Guards against refusing all of the messages that ask for memory in the same
// moment, though the first refusal makes room for the next.
TEST_CASE("of messages that don't all fit at once, some are read") {
  constexpr int Clients = 12;
  const std::string Message =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
      std::string(100'000, 'x');
  NetRuntime Loop;
  Runtime Tasks = Loop.hooks();
  TimePoint Deadline = Tasks.Now() + TestTimeout;
  auto Budget =
      std::make_shared<MemoryBudget>(MemoryPolicy{1'000'000, 8 * 1024});
  int Read = 0;
  int Refused = 0;
  // Tasks that are left would run after this test.
  int RunningTasks = 2 * Clients;
  auto EndTask = [&] {
    if (--RunningTasks == 0)
      Loop.stop();
  };
  TcpListenerSettings Settings{"127.0.0.1:0", 16, 16, {}};
  Settings.Limits.Memory = Budget;
  TcpListener Port(
      Loop, Settings, [&](const TcpConnection::Handle &Connection) {
        Event Changed;
        ScopedEventAttachment Attached(Connection, Changed);
        Connection->setOwners({1});
        HttpRequestReader Reader(Connection, Tasks, Changed);
        auto Received = Reader.read({}, Deadline, [] {});
        Read += Received ? 1 : 0;
        Refused += !Received && Received.error() == NetError::OutOfMemory;
        // Others are still being read.
        Tasks.sleepUntil(Tasks.Now() + std::chrono::milliseconds(300));
        EndTask();
      });
  REQUIRE(Port.start());
  for (int I = 0; I < Clients; ++I)
    Tasks.Spawn([&] {
      auto Connection = TcpConnection::connect(
          Loop, "127.0.0.1:" + std::to_string(Port.port()), {}, Deadline);
      REQUIRE(Connection);
      (void)Connection.value()->write(Message, Deadline);
      Tasks.sleepUntil(Tasks.Now() + std::chrono::milliseconds(600));
      Connection.value()->close();
      EndTask();
    });
  Loop.run();
  Port.stop();
  CHECK(Read + Refused == Clients);
  // Half of the memory is for one owner.
  CHECK(Read >= 3);
}
