#include "LibObserve/LogWriter.h"

#include <doctest/doctest.h>
#include <future>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("lines are written in order") {
  std::string Written;
  LogWriter Writer(
      1000, [&](LogLevel, const std::string &Line) { Written += Line + ";"; });
  for (int I = 0; I < 5; ++I)
    CHECK(Writer.enqueue(LogLevel::Info, std::to_string(I)));
  REQUIRE(Writer.drain(10s));
  CHECK(Written == "0;1;2;3;4;");
}

TEST_CASE("a blocked sink blocks no caller, and the queue is bounded") {
  std::promise<void> Release;
  std::shared_future<void> Released = Release.get_future().share();
  int Written = 0;
  LogWriter Writer(100, [&](LogLevel, const std::string &) {
    Released.wait();
    ++Written;
  });
  int Accepted = 0;
  for (int I = 0; I < 1000; ++I)
    Accepted += Writer.enqueue(LogLevel::Warning, std::string(10, 'x')) ? 1 : 0;
  CHECK(Accepted == 10);
  CHECK_FALSE(Writer.drain(1ms));
  Release.set_value();
  REQUIRE(Writer.drain(10s));
  CHECK(Written == 10);
  CHECK(Writer.enqueue(LogLevel::Warning, "again"));
}
