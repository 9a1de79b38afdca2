/// \file
/// Watches how much memory the program asks for at once.

#ifndef BERGAMOTHOOK_TESTS_LIBNET_LARGESTALLOCATION_H
#define BERGAMOTHOOK_TESTS_LIBNET_LARGESTALLOCATION_H

#include <cstddef>

namespace bergamothook {

/// Forgets the allocations so far.
void resetLargestAllocation();

/// \returns the bytes of the largest single allocation, failed ones included.
std::size_t largestAllocation();

} // namespace bergamothook

#endif
