#include "LibTask/VirtualRuntime.h"
#include "LibTask/Channel.h"

#include <doctest/doctest.h>
#include <vector>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("tasks wake in the order of their deadlines") {
  VirtualRuntime Simulated;
  Runtime Tasks = Simulated.hooks();
  std::vector<int> Order;
  for (int Number : {3, 1, 2})
    Tasks.Spawn([&Order, Tasks, Number] {
      Tasks.sleepUntil(Tasks.Now() + Number * 10ms);
      Order.push_back(Number);
    });
  Simulated.runFor(25ms);
  CHECK(Order == std::vector<int>{1, 2});
  Simulated.runFor(10ms);
  CHECK(Order == std::vector<int>{1, 2, 3});
}

TEST_CASE("a push wakes the task that waits for the channel") {
  VirtualRuntime Simulated;
  Runtime Tasks = Simulated.hooks();
  Channel<int> Values(1);
  std::optional<int> Received;
  TimePoint Start = Tasks.Now();
  TimePoint WokenAt;
  Tasks.Spawn([&] {
    Received = Values.pop(Tasks, Tasks.Now() + 1s);
    WokenAt = Tasks.Now();
  });
  Tasks.Spawn([&] {
    Tasks.sleepUntil(Tasks.Now() + 100ms);
    CHECK(Values.push(7));
  });
  Simulated.runFor(2s);
  CHECK(Received == 7);
  CHECK(WokenAt == Start + 100ms);
}

TEST_CASE("a full channel rejects values and a closed one ends the wait") {
  VirtualRuntime Simulated;
  Runtime Tasks = Simulated.hooks();
  Channel<int> Values(1);
  CHECK(Values.push(1));
  CHECK_FALSE(Values.push(2));
  Values.close();
  int Pops = 0;
  Tasks.Spawn([&] {
    while (Values.pop(Tasks, Tasks.Now() + 1h))
      ++Pops;
  });
  Simulated.runFor(1ms);
  CHECK(Pops == 1);
}
