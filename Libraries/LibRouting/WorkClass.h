/// \file
/// The kinds of work that wait in different ways.

#ifndef BERGAMOTHOOK_LIBROUTING_WORKCLASS_H
#define BERGAMOTHOOK_LIBROUTING_WORKCLASS_H

#include <cstddef>
#include <cstdint>

namespace bergamothook {

enum class WorkClass : std::uint8_t {
  /// Someone waits for the first token.
  QuickAnswer,
  /// A call that changes something outside.
  Order,
  /// A long generation that may wait and has to finish.
  LongDraft,
};

constexpr std::size_t WorkClassCount = 3;

} // namespace bergamothook

#endif
