/// \file
/// Detects duplicate frames by their sequence numbers.

#ifndef BERGAMOTHOOK_LIBPEER_REPLAYWINDOW_H
#define BERGAMOTHOOK_LIBPEER_REPLAYWINDOW_H

#include <bitset>
#include <cstdint>

namespace bergamothook {

/// A sliding window over the latest sequence numbers of one sender. A number
/// older than the window counts as received.
class ReplayWindow {
public:
  /// Marks \p Sequence as received. \returns false if it was received before,
  /// is older than the window, or is 0.
  bool accept(std::uint64_t Sequence);

private:
  static constexpr std::uint64_t WindowSize = 1024;

  std::uint64_t HighestSequence = 0;
  /// The bit of a sequence number is at that number modulo WindowSize.
  std::bitset<WindowSize> Received;
};

} // namespace bergamothook

#endif
