#include "LibBase/Random.h"
#include "LibRelay/ConfigView.h"
#include "PlatformFixture.h"
#include "platform/StoreFeed.h"

#include <cstdlib>
#include <map>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *SoakTopic = "keyed.x";
constexpr const char *VersionKey = "config";
constexpr std::uint64_t DefaultSeeds = 4;
constexpr int Steps = 80;
constexpr Duration MaxStep = 30ms;
constexpr Duration MaxCatchUp = 10s;
/// Beyond what one read of the store holds.
constexpr std::uint64_t MaxVersionBytes = 300'000;

std::uint64_t seedsToPlay() {
  const char *Value = std::getenv("BERGAMOTHOOK_SCHEDULES");
  return Value ? std::strtoull(Value, nullptr, 10) : DefaultSeeds;
}

/// A store in trouble whose newest version a feed follows.
class TroubledStore {
public:
  explicit TroubledStore(std::uint64_t Seed) : Rng(Seed) {}

  void play() {
    this->Fixture.run([this] {
      this->Fixture.Store.put(SoakTopic, VersionKey, "0");
      bool HasEnded = false;
      Runtime Tasks = this->Fixture.Loop.hooks();
      StoreClient Client(this->Fixture.Loop, this->Fixture.Store.address(),
                         {.ResponseTimeout = 100ms,
                          .ConnectTimeout = 100ms,
                          .MaxFetchKiB = 200},
                         this->Fixture.Measured);
      StoreFeed Feed(Client, Tasks,
                     {.Topic = SoakTopic,
                      .Pause = 1ms,
                      .OnlyNewest = true,
                      .RetryPause = 5ms},
                     this->hooks());
      Tasks.Spawn([&] {
        Feed.run([this] { return this->MustStop; });
        HasEnded = true;
      });
      for (int I = 0; I < Steps; ++I) {
        this->step();
        Tasks.sleepUntil(Tasks.Now() + this->pause());
      }
      this->calm();
      TimePoint Limit = Tasks.Now() + MaxCatchUp;
      while (this->InForce != this->Newest && Tasks.Now() < Limit)
        Tasks.sleepUntil(Tasks.Now() + 1ms);
      CHECK(this->InForce == this->Newest);
      CHECK(this->Claims > 0);
      this->MustStop = true;
      while (!HasEnded)
        Tasks.sleepUntil(Tasks.Now() + 1ms);
    });
  }

private:
  FeedHooks hooks() {
    FeedHooks Hooks;
    Hooks.OnSnapshot = [this](const std::vector<KeyedRecord> &Records,
                              std::uint64_t) {
      for (const KeyedRecord &Record : Records)
        this->apply(Record);
    };
    Hooks.OnRecord = [this](const KeyedRecord &Record) { this->apply(Record); };
    // Whatever was appended before is in force.
    Hooks.OnCurrent = [this](TimePoint AsOf) {
      ++this->Claims;
      for (const auto &[Version, At] : this->AppendedAt)
        if (At < AsOf)
          CHECK(this->InForce >= Version);
    };
    Hooks.OnUnavailable = [] {};
    Hooks.OnAvailable = [] {};
    return Hooks;
  }

  void apply(const KeyedRecord &Record) {
    if (Record.Key == VersionKey)
      this->InForce = std::max<std::uint64_t>(
          this->InForce, std::stoull(Record.Value.value()));
  }

  void step() {
    FakeStore &Store = this->Fixture.Store;
    constexpr std::uint64_t Kinds = 8;
    switch (this->Rng.below(Kinds)) {
    case 0:
    case 1:
    case 2:
      return this->append();
    case 3:
      Store.put(SoakTopic, "evacuated", this->Rng.chance(0.5) ? "1" : "");
      return;
    case 4:
      Store.Fault = static_cast<StoreFault>(this->Rng.below(
          static_cast<std::uint64_t>(StoreFault::CloseUnprocessed) + 1));
      return;
    case 5:
      Store.PieceBytes = 20'000;
      Store.PiecePause = this->pause();
      return;
    case 6:
      Store.StallAfter = this->Rng.below(MaxVersionBytes);
      return;
    default:
      if (this->Rng.chance(0.3))
        Store.compact(SoakTopic);
      return this->calm();
    }
  }

  Duration pause() {
    return std::chrono::duration_cast<Duration>(this->Rng.uniform() * MaxStep);
  }

  void append() {
    ++this->Newest;
    std::string Text = std::to_string(this->Newest);
    if (this->Rng.chance(0.5))
      Text += std::string(1 + this->Rng.below(MaxVersionBytes), ' ');
    this->Fixture.Store.put(SoakTopic, VersionKey, Text);
    this->AppendedAt[this->Newest] = readMonotonicClock();
  }

  void calm() {
    this->Fixture.Store.Fault = StoreFault::None;
    this->Fixture.Store.PieceBytes = 0;
    this->Fixture.Store.StallAfter.reset();
  }

  Random Rng;
  PlatformFixture Fixture;
  std::uint64_t Newest = 0;
  std::uint64_t InForce = 0;
  std::map<std::uint64_t, TimePoint> AppendedAt;
  int Claims = 0;
  bool MustStop = false;
};

} // namespace

TEST_CASE("a store in trouble never makes an old view count as current, nor "
          "keeps the newest version away for good") {
  for (std::uint64_t Seed = 1; Seed <= seedsToPlay(); ++Seed) {
    CAPTURE(Seed);
    TroubledStore(Seed).play();
  }
}
