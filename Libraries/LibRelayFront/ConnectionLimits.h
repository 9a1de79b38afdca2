/// \file
/// Derives from a host's memory and descriptors how many connections it takes.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_CONNECTIONLIMITS_H
#define BERGAMOTHOOK_LIBRELAYFRONT_CONNECTIONLIMITS_H

#include <cstddef>

namespace bergamothook {

/// Descriptors that a host keeps for files.
inline constexpr std::size_t DescriptorsForFiles = 200;
/// Descriptors for the two status ports with \c MaxStatusConnections each, the
/// listening ports, the messages of other hosts, and the store.
inline constexpr std::size_t DescriptorsForOwnUse = 128;
/// Connections to each status port. The load balancer and the collector of the
/// metrics hold one or two each.
inline constexpr std::size_t MaxStatusConnections = 32;
/// The memory of a connection that waits for or reads a request: about 24 KB of
/// its task's stack, and the 8 KB that the memory budget does not count.
inline constexpr std::size_t ConnectionMemoryBytes = 32 * 1024;
/// The most caller connections of a host with enough of both.
inline constexpr std::size_t MaxCallerConnections = 2500;
/// The kernel's send buffer of a caller connection. It allocates twice as much,
/// which at the longest round trip between failure domains (2.8 ms) carries
/// more than 90 Mbit/s on one connection.
inline constexpr int CallerSendBufferBytes = 16 * 1024;

struct ConnectionLimits {
  std::size_t CallerConnections = MaxCallerConnections;
  /// Caller connections and calls in progress, each of which holds a connection
  /// to a target; 0 if not limited.
  std::size_t ConnectionsAndCalls = 0;
};

/// \p Descriptors is 0 if they are not limited.
ConnectionLimits deriveConnectionLimits(std::size_t MemoryBytes,
                                        std::size_t Descriptors);

} // namespace bergamothook

#endif
