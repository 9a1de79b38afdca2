#include "platform/PlatformSettings.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

const std::string Good = "node=edge-1\n"
                         "zone=east\n"
                         "ip=10.1.0.40\n"
                         "listen.front=10.1.0.40:8227\n"
                         "listen.ready=10.1.0.40:8220\n"
                         "internalPorts=7340,7355\n"
                         "platform.addr=10.200.1.7:8223\n"
                         "platform.parts=8\n"
                         "limits.memoryMb=260\n"
                         "bounds.graceS=8\n"
                         "bounds.retryBudgetRatio=0.2\n"
                         "bounds.retryBudgetSlack=52\n"
                         "bounds.budgetWindowS=10\n"
                         "bounds.configMs=2000\n"
                         "bounds.drainMs=2000\n";

std::string without(const std::string &Field) {
  std::string Text = Good;
  std::size_t Begin = Text.find(Field + "=");
  return Text.erase(Begin, Text.find('\n', Begin) + 1 - Begin);
}

} // namespace

TEST_CASE("settings are read by name, and unknown fields are ignored") {
  auto Read = parseSettings(Good + "brand.new=1\r\nno equals sign\n\n");
  REQUIRE(Read);
  CHECK(Read.value().Host == "edge-1");
  CHECK(Read.value().FailureDomain == "east");
  CHECK(Read.value().MetricsAddress == "10.1.0.40:7340");
  CHECK(Read.value().PeerAddress == "10.1.0.40:7341");
  CHECK(Read.value().StoreAddress == "10.200.1.7:8223");
  CHECK(Read.value().StorePartitions == 8);
  CHECK(Read.value().MemoryBytes == 260U * 1024 * 1024);
  CHECK(Read.value().StopTime == 8s);
  CHECK(Read.value().ResendRatio == doctest::Approx(0.2));
  CHECK(Read.value().ConfigTime == 2s);
}

TEST_CASE("the error names a field that is missing or not a number") {
  for (const char *Field :
       {"node", "zone", "ip", "listen.front", "listen.ready", "internalPorts",
        "platform.addr", "platform.parts", "limits.memoryMb", "bounds.graceS",
        "bounds.retryBudgetRatio", "bounds.configMs"}) {
    auto Read = parseSettings(without(Field));
    REQUIRE_FALSE(Read);
    CHECK(Read.error().Field == Field);
  }
  auto Read = parseSettings(without("bounds.graceS") + "bounds.graceS=soon\n");
  REQUIRE_FALSE(Read);
  CHECK(Read.error().Field == "bounds.graceS");
  CHECK(Read.error().Text.find("soon") != std::string::npos);
  CHECK_FALSE(parseSettings(without("bounds.graceS") + "bounds.graceS=-1\n"));
  for (const char *Ports : {"7340", "7340,7340", "7340,70000", "7355,7340"})
    CHECK_FALSE(parseSettings(without("internalPorts") +
                              "internalPorts=" + Ports + "\n"));
  CHECK_FALSE(readSettings("/nonexistent/node.conf"));
}

TEST_CASE("what the host has besides its memory may be missing, but not be "
          "unreadable") {
  auto Missing = parseSettings(Good);
  REQUIRE(Missing);
  CHECK(Missing.value().LinkBytesPerSecond == 0);
  auto Stated = parseSettings(Good + "limits.linkMbps=10.0\n"
                                     "limits.maxFds=4100\n");
  REQUIRE(Stated);
  CHECK(Stated.value().LinkBytesPerSecond == doctest::Approx(1.25e6));
  CHECK(Stated.value().Descriptors == 4100);
  auto Unreadable = parseSettings(Good + "limits.linkMbps=fast\n");
  REQUIRE_FALSE(Unreadable);
  CHECK(Unreadable.error().Field == "limits.linkMbps");
}

TEST_CASE("the bounds for cold targets may be missing, but not be unreadable") {
  auto Missing = parseSettings(Good);
  REQUIRE(Missing);
  CHECK(Missing.value().ColdOvershoot == 1.5);
  CHECK(Missing.value().ColdSlack == 5);
  auto Stated = parseSettings(Good + "bounds.coldOvershoot=1.25\n"
                                     "bounds.coldSlack=8\n");
  REQUIRE(Stated);
  CHECK(Stated.value().ColdOvershoot == 1.25);
  CHECK(Stated.value().ColdSlack == 8);
  for (const char *Field : {"bounds.coldOvershoot", "bounds.coldSlack"})
    for (const char *Value : {"much", "-1", "", "nan"}) {
      auto Unreadable =
          parseSettings(Good + std::string(Field) + "=" + Value + "\n");
      REQUIRE_FALSE(Unreadable);
      CHECK(Unreadable.error().Field == Field);
    }
}

// Guards against a setting that asks for keys to expire and is not obeyed.
TEST_CASE("keys expire without word of the configuration if the settings ask "
          "for it") {
  auto KeyTimeOf = [](const std::string &Fields) {
    auto Read = parseSettings(Good + Fields);
    REQUIRE(Read);
    return Read.value().KeyTime;
  };
  CHECK_FALSE(KeyTimeOf(""));
  CHECK_FALSE(KeyTimeOf("bounds.revokeFailClosed=\nbounds.revokeMs=\n"));
  CHECK_FALSE(
      KeyTimeOf("bounds.revokeFailClosed=false\nbounds.revokeMs=5000\n"));
  CHECK(KeyTimeOf("bounds.revokeFailClosed=true\nbounds.revokeMs=5000\n") ==
        5s);
  for (const char *Fields :
       {"bounds.revokeFailClosed=yes\nbounds.revokeMs=5000\n",
        "bounds.revokeFailClosed=true\n",
        "bounds.revokeFailClosed=true\nbounds.revokeMs=\n",
        "bounds.revokeFailClosed=true\nbounds.revokeMs=soon\n"})
    CHECK_FALSE(parseSettings(Good + Fields));
}
