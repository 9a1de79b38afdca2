/// \file
/// What can be wrong with the content of a stream.

#ifndef BERGAMOTHOOK_LIBSTREAM_STREAMERROR_H
#define BERGAMOTHOOK_LIBSTREAM_STREAMERROR_H

#include <system_error>

namespace bergamothook {

enum class StreamError {
  /// The payload is no batch of records of this format.
  Malformed = 1,
  /// The payload is of a format version that this release can't read.
  UnknownVersion,
  /// The queue of records that wait for the log is full.
  QueueFull,
  /// Nothing was read back before the deadline; the record may still land.
  NotConfirmed,
};

std::error_code make_error_code(StreamError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::StreamError> : std::true_type {};

#endif
