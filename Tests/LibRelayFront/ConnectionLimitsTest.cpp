#include "LibRelayFront/ConnectionLimits.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {
constexpr std::size_t MegaByte = 1024 * 1024;
} // namespace

TEST_CASE("the smallest host has memory and descriptors for all connections") {
  ConnectionLimits Limits = deriveConnectionLimits(120 * MegaByte, 3075);
  CHECK(Limits.CallerConnections * ConnectionMemoryBytes <= 60 * MegaByte);
  CHECK(Limits.ConnectionsAndCalls + DescriptorsForOwnUse <=
        3075 - DescriptorsForFiles);
  CHECK(Limits.CallerConnections < Limits.ConnectionsAndCalls);
  CHECK(Limits.CallerConnections == 1831);
}

TEST_CASE("a host with enough of both takes as many connections as before") {
  CHECK(deriveConnectionLimits(260 * MegaByte, 4100).CallerConnections == 2500);
  CHECK(deriveConnectionLimits(512 * MegaByte, 10'250).CallerConnections ==
        2500);
  // Descriptors are not stated.
  CHECK(deriveConnectionLimits(512 * MegaByte, 0).CallerConnections == 2500);
  CHECK(deriveConnectionLimits(512 * MegaByte, 0).ConnectionsAndCalls == 0);
}

TEST_CASE("a host with next to nothing still takes a connection and a call") {
  ConnectionLimits Limits = deriveConnectionLimits(1, 1);
  CHECK(Limits.CallerConnections == 1);
  CHECK(Limits.ConnectionsAndCalls >= 2);
}
