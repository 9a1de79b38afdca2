/// \file
/// Splits a prompt into fixed-size blocks and hashes the prefix that ends with
/// each block, so that equal hashes mean equal prefixes.

#ifndef BERGAMOTHOOK_LIBTARGET_PREFIXBLOCKS_H
#define BERGAMOTHOOK_LIBTARGET_PREFIXBLOCKS_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace bergamothook {

/// A hash of the whole text of a prefix.
using PrefixHash = std::uint64_t;

/// The size of a block, and the number of tokens that it is assumed to hold.
constexpr std::size_t PrefixBlockBytes = 1024;
constexpr std::uint32_t PrefixBlockTokens = 256;

/// The maximum number of blocks hashed per prompt. Text after them takes no
/// part in prefix matching.
constexpr std::size_t MaxPrefixBlocks = 32;

/// Hashes the prefixes of \p Prompt that end with a complete block. \p Seed
/// identifies the model, since models share no cache entries.
std::vector<PrefixHash> prefixBlocksOf(std::string_view Prompt,
                                       std::uint64_t Seed);

} // namespace bergamothook

#endif
