/// \file
/// Measures the memory and the descriptors of another process.

#ifndef BERGAMOTHOOK_TESTS_MISBEHAVINGCLIENTS_PROCESSUSAGE_H
#define BERGAMOTHOOK_TESTS_MISBEHAVINGCLIENTS_PROCESSUSAGE_H

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <sys/types.h>

namespace bergamothook {

/// \returns the most memory that the process has held (VmHWM), in bytes.
std::size_t peakMemoryOf(pid_t Process);

std::size_t openDescriptorsOf(pid_t Process);

/// \returns the bytes in the kernel's buffers of all TCP and UDP sockets at the
/// local address \p Ip, and of those connected to one of \p PeerPorts; 0 where
/// the kernel does not tell.
std::size_t socketMemory(const std::string &Ip,
                         const std::set<std::uint16_t> &PeerPorts);

} // namespace bergamothook

#endif
