/// \file
/// Tells whether a numbered frame was received before.

#ifndef BERGAMOTHOOK_LIBPEER_REPLAYWINDOW_H
#define BERGAMOTHOOK_LIBPEER_REPLAYWINDOW_H

#include <bitset>
#include <cstdint>

namespace bergamothook {

/// Remembers the last numbers of one sender. A number that is older than the
/// window counts as received.
class ReplayWindow {
public:
  /// Takes \p Number. \returns false if it was received before, or is 0.
  bool accept(std::uint64_t Number);

private:
  static constexpr std::uint64_t Width = 1024;

  std::uint64_t Highest = 0;
  /// The bit of a number is at the number modulo the width.
  std::bitset<Width> Received;
};

} // namespace bergamothook

#endif
