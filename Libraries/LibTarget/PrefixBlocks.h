/// \file
/// Cuts a prompt into blocks and names each block by all the text up to its
/// end, so that equal names mean equal prefixes.

#ifndef BERGAMOTHOOK_LIBTARGET_PREFIXBLOCKS_H
#define BERGAMOTHOOK_LIBTARGET_PREFIXBLOCKS_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace bergamothook {

/// The name of a prefix: a hash of its whole text.
using PrefixHash = std::uint64_t;

/// The text of one block, and the tokens that it is taken for.
constexpr std::size_t PrefixBlockBytes = 1024;
constexpr std::uint32_t PrefixBlockTokens = 256;

/// The blocks of one prompt that are named; what is behind them is not looked
/// up.
constexpr std::size_t MaxPrefixBlocks = 32;

/// Names the whole blocks of \p Prompt. \p Seed separates models, whose caches
/// have nothing in common.
std::vector<PrefixHash> prefixBlocksOf(std::string_view Prompt,
                                       std::uint64_t Seed);

} // namespace bergamothook

#endif
