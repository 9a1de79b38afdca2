#include "LibNet/HttpConnectionPool.h"
#include "ConnectionPair.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("a kept connection that its server has ended is not used, also if "
          "the process is late to notice") {
  NetRuntime Loop;
  Runtime Tasks = Loop.hooks();
  int Listening = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  REQUIRE(::bind(Listening, reinterpret_cast<sockaddr *>(&Address), Size) == 0);
  REQUIRE(::listen(Listening, 4) == 0);
  REQUIRE(::getsockname(Listening, reinterpret_cast<sockaddr *>(&Address),
                        &Size) == 0);
  std::string Target = "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  Tasks.Spawn([&] {
    HttpConnectionPool Pool({});
    auto Connected =
        TcpConnection::connect(Loop, Target, {}, Tasks.Now() + TestTimeout);
    REQUIRE(Connected);
    int Served = ::accept(Listening, nullptr, nullptr);
    Pool.release(Target, Connected.value(), std::nullopt, Tasks.Now());
    auto Kept = Pool.acquire(Target, 4s, Tasks.Now());
    CHECK(Kept == Connected.value());
    Pool.release(Target, Kept, std::nullopt, Tasks.Now());
    // Let the pending wait begin.
    Tasks.sleepUntil(Tasks.Now() + 20ms);
    ::close(Served);
    CHECK(Pool.acquire(Target, 4s, Tasks.Now()) == nullptr);
    Connected.value()->abort();
    Tasks.sleepUntil(Tasks.Now() + 20ms);
    Loop.stop();
  });
  Loop.run();
  ::close(Listening);
}
