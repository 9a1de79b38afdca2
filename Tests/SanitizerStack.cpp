/// \file
/// Tells the address sanitizer about exceptions on the stacks of fibers.
///
/// Before an exception unwinds a stack, the sanitizer clears the marks of the
/// frames that will be left. It does so only for stacks that it knows, and
/// gives up on those of fibers; the stale marks then look like an overflow as
/// soon as later frames use the same bytes. The function below replaces the
/// sanitizer's own and clears the marks around the present frame, which holds
/// for any stack.

#if defined(__SANITIZE_ADDRESS__)

#include <cstddef>
#include <sanitizer/asan_interface.h>

namespace {
constexpr std::size_t BytesBelow = 16 * 1024;
constexpr std::size_t BytesAbove = 64 * 1024;
} // namespace

extern "C" __attribute__((no_sanitize("address"))) void
__asan_handle_no_return() { // NOLINT
  char *Frame = static_cast<char *>(__builtin_frame_address(0));
  __asan_unpoison_memory_region(Frame - BytesBelow, BytesBelow + BytesAbove);
}

#endif
