/// \file
/// A fake of the platform's store and a client of it for tests.

#ifndef BERGAMOTHOOK_TESTS_PLATFORM_PLATFORMFIXTURE_H
#define BERGAMOTHOOK_TESTS_PLATFORM_PLATFORMFIXTURE_H

#include "FakeStore.h"
#include "LibObserve/StructuredLog.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>
#include <optional>

namespace bergamothook {

/// Runs a fake store and its client in the test's process.
struct PlatformFixture {
  PlatformFixture() { startLogging("test", "test", LogLevel::Error); }

  /// Runs \p Task to completion while the store serves requests.
  void run(const std::function<void()> &Task) {
    REQUIRE(this->Store.start());
    this->Client.emplace(this->Loop, this->Store.address(),
                         platform::StoreLimits{}, this->Measured);
    this->Loop.hooks().Spawn([&] {
      Task();
      this->Client.reset();
      this->Store.stop();
      this->Loop.stop();
    });
    this->Loop.run();
  }

  NetRuntime Loop;
  Metrics Measured;
  FakeStore Store{Loop};
  std::optional<platform::StoreClient> Client;
};

} // namespace bergamothook

#endif
