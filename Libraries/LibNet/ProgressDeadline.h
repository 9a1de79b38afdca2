/// \file
/// The deadline of a transfer that may last as long as it makes progress.

#ifndef BERGAMOTHOOK_LIBNET_PROGRESSDEADLINE_H
#define BERGAMOTHOOK_LIBNET_PROGRESSDEADLINE_H

#include "LibBase/Time.h"

#include <cstdint>

namespace bergamothook {

struct ProgressPolicy {
  /// A transfer that brings fewer than MinBytes in this time has stalled.
  Duration StallTimeout = std::chrono::milliseconds(1500);
  /// Less does not count, so that a peer that sends single bytes does not hold
  /// a transfer for long.
  std::uint64_t MinBytes = 1024;
};

class ProgressDeadline {
public:
  ProgressDeadline(ProgressPolicy Policy, TimePoint Begin)
      : Policy(Policy), At(Begin + Policy.StallTimeout) {}

  /// \p TotalBytes have been transferred by \p Now.
  void onBytes(std::uint64_t TotalBytes, TimePoint Now) {
    if (TotalBytes - this->CountedBytes < this->Policy.MinBytes)
      return;
    this->CountedBytes = TotalBytes;
    this->At = Now + this->Policy.StallTimeout;
  }

  /// When the transfer has stalled unless more bytes are transferred.
  TimePoint at() const { return this->At; }

private:
  ProgressPolicy Policy;
  TimePoint At;
  std::uint64_t CountedBytes = 0;
};

} // namespace bergamothook

#endif
