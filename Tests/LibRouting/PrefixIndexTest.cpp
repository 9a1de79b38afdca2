#include "LibRouting/PrefixIndex.h"

#include <doctest/doctest.h>
#include <string>

using namespace bergamothook;

namespace {
const std::vector<PrefixHash> Blocks{101, 202, 303};
} // namespace

TEST_CASE("equal prefixes have equal hashes regardless of later text") {
  std::string Shared(2 * PrefixBlockBytes, 'a');
  auto First = prefixBlocksOf(Shared + std::string(PrefixBlockBytes, 'b'), 1);
  auto Second = prefixBlocksOf(Shared + std::string(PrefixBlockBytes, 'c'), 1);
  REQUIRE(First.size() == 3);
  CHECK(First[1] == Second[1]);
  CHECK(First[2] != Second[2]);
  CHECK(prefixBlocksOf(Shared, 2)[0] != First[0]);
  CHECK(prefixBlocksOf("short", 1).empty());
}

TEST_CASE("events in order update the blocks cached by a target") {
  PrefixIndex Index(64);
  for (std::uint64_t I = 0; I < Blocks.size(); ++I)
    CHECK(Index.apply(4, {I + 1, Blocks[I], true}));
  CHECK(Index.covered(4, Blocks) == 3);
  CHECK(Index.apply(4, {4, Blocks[2], false}));
  auto Found = Index.find(Blocks);
  REQUIRE(Found.size() == 1);
  CHECK(Found[0].SlotIndex == 4);
  CHECK(Found[0].Blocks == 2);
  CHECK_FALSE(Found[0].HasGap);
}

TEST_CASE("a gap marks the target until it is resynchronised") {
  PrefixIndex Index(64);
  CHECK(Index.apply(1, {1, Blocks[0], true}));
  CHECK_FALSE(Index.apply(1, {3, Blocks[1], true}));
  CHECK(Index.slotsWithGaps() == std::vector<TargetTable::Slot>{1});
  CHECK(Index.find(Blocks)[0].HasGap);
  std::vector<PrefixHash> Whole{Blocks[0]};
  Index.resynchronise(1, 5, Whole);
  CHECK(Index.slotsWithGaps().empty());
  CHECK(Index.covered(1, Blocks) == 1);
  CHECK(Index.apply(1, {4, Blocks[1], true}));
  CHECK_MESSAGE(Index.covered(1, Blocks) == 1,
                "an event older than the snapshot is ignored");
}

TEST_CASE("a snapshot older than the events seen is ignored") {
  PrefixIndex Index(64);
  CHECK_FALSE(Index.apply(1, {9, Blocks[0], true}));
  Index.resynchronise(1, 8, {});
  CHECK(Index.covered(1, Blocks) == 1);
}

TEST_CASE("blocks that a target has not cached are removed") {
  PrefixIndex Index(64);
  Index.addExpected(0, Blocks);
  Index.removeMissing(0, Blocks, 1);
  CHECK(Index.covered(0, Blocks) == 1);
}

TEST_CASE("the memory is fixed and the latest prefixes are kept") {
  PrefixIndex Index(256);
  std::size_t Before = 0;
  for (PrefixHash I = 1; I <= 10000; ++I) {
    std::vector<PrefixHash> One{I * 0x9e3779b97f4a7c15ULL};
    Index.addExpected(0, One);
    if (I == 1)
      Before = Index.bytes();
  }
  CHECK(Index.bytes() == Before);
  CHECK(Index.size() <= 256);
  std::vector<PrefixHash> Last{10000 * 0x9e3779b97f4a7c15ULL};
  CHECK(Index.covered(0, Last) == 1);
}

TEST_CASE(
    "a restarted target has no cached blocks after any number of restarts") {
  PrefixIndex Index(64);
  for (int I = 0; I < 600; ++I) {
    Index.addExpected(3, Blocks);
    Index.reset(3);
    CHECK(Index.covered(3, Blocks) == 0);
  }
}
