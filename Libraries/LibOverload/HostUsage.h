/// \file
/// What a host has at its disposal, and what it uses of it.

#ifndef BERGAMOTHOOK_LIBOVERLOAD_HOSTUSAGE_H
#define BERGAMOTHOOK_LIBOVERLOAD_HOSTUSAGE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace bergamothook {

enum class HostResource {
  LinkReceive,
  LinkSend,
  Descriptors,
  Memory,
};

constexpr std::size_t HostResourceCount = 4;

inline constexpr std::array LinkDirections{HostResource::LinkReceive,
                                           HostResource::LinkSend};

const char *nameOf(HostResource Resource);

/// The limits of a host; 0 for what is not limited or not known.
struct HostCapacity {
  /// Of each direction.
  double LinkBytesPerSecond = 0;
  std::size_t Descriptors = 0;
  /// The bytes of messages that may be held.
  std::size_t MessageBytes = 0;
};

struct HostUsage {
  /// Since the start of the process, on all sockets.
  std::uint64_t BytesReceived = 0;
  std::uint64_t BytesSent = 0;
  /// The part of these bytes that the host itself exchanged with the store.
  std::uint64_t OwnBytesReceived = 0;
  std::uint64_t OwnBytesSent = 0;
  /// At the moment.
  std::size_t Descriptors = 0;
  std::size_t MessageBytes = 0;
  std::size_t CallerConnections = 0;
  /// Set if the host may lack a version of the configuration.
  bool HasOldConfig = false;
};

} // namespace bergamothook

#endif
