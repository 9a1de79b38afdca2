#include "LibTarget/PrefixBlocks.h"

#include "LibBase/Hash.h"

#include <algorithm>

namespace bergamothook {

std::vector<PrefixHash> prefixBlocksOf(std::string_view Prompt,
                                       std::uint64_t Seed) {
  std::size_t Count =
      std::min(Prompt.size() / PrefixBlockBytes, MaxPrefixBlocks);
  std::vector<PrefixHash> Blocks;
  Blocks.reserve(Count);
  PrefixHash Previous = Seed;
  for (std::size_t I = 0; I < Count; ++I) {
    std::string_view Block =
        Prompt.substr(I * PrefixBlockBytes, PrefixBlockBytes);
    Previous = hash64(Block, Previous);
    Blocks.push_back(Previous);
  }
  return Blocks;
}

} // namespace bergamothook
