#include "LargestAllocation.h"

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {
std::size_t Largest = 0;
} // namespace

namespace bergamothook {

void resetLargestAllocation() { Largest = 0; }
std::size_t largestAllocation() { return Largest; }

} // namespace bergamothook

void *operator new(std::size_t Bytes) {
  Largest = std::max(Largest, Bytes);
  if (void *Memory = std::malloc(Bytes))
    return Memory;
  throw std::bad_alloc();
}

void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }
