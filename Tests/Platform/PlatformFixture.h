/// \file
/// The platform's store and a client of it in the process of a test.

#ifndef BERGAMOTHOOK_TESTS_PLATFORM_PLATFORMFIXTURE_H
#define BERGAMOTHOOK_TESTS_PLATFORM_PLATFORMFIXTURE_H

#include "FakeStore.h"
#include "LibObserve/StructuredLog.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>
#include <optional>

namespace bergamothook {

/// A store and its client in one process.
struct PlatformFixture {
  PlatformFixture() { startLogging("test", "test", LogLevel::Error); }

  /// Runs \p Task to its end beside the store.
  void play(const std::function<void()> &Task) {
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
