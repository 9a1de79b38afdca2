#include "LibTask/VirtualRuntime.h"
#include "LibTask/Channel.h"

#include <doctest/doctest.h>
#include <vector>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("tasks wake in the order of their times") {
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

TEST_CASE("a channel wakes the task that waits for it") {
  VirtualRuntime Simulated;
  Runtime Tasks = Simulated.hooks();
  Channel<int> Numbers(1);
  std::optional<int> Got;
  TimePoint Start = Tasks.Now();
  TimePoint Woken;
  Tasks.Spawn([&] {
    Got = Numbers.pop(Tasks, Tasks.Now() + 1s);
    Woken = Tasks.Now();
  });
  Tasks.Spawn([&] {
    Tasks.sleepUntil(Tasks.Now() + 100ms);
    CHECK(Numbers.push(7));
  });
  Simulated.runFor(2s);
  CHECK(Got == 7);
  CHECK(Woken == Start + 100ms);
}

TEST_CASE("a full channel refuses and a closed one ends the wait") {
  VirtualRuntime Simulated;
  Runtime Tasks = Simulated.hooks();
  Channel<int> Numbers(1);
  CHECK(Numbers.push(1));
  CHECK_FALSE(Numbers.push(2));
  Numbers.close();
  int Pops = 0;
  Tasks.Spawn([&] {
    while (Numbers.pop(Tasks, Tasks.Now() + 1h))
      ++Pops;
  });
  Simulated.runFor(1ms);
  CHECK(Pops == 1);
}
