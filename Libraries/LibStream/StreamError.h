/// \file
/// Errors of reading and appending streams.

#ifndef BERGAMOTHOOK_LIBSTREAM_STREAMERROR_H
#define BERGAMOTHOOK_LIBSTREAM_STREAMERROR_H

#include <system_error>

namespace bergamothook {

enum class StreamError {
  /// The payload is not a valid batch of records.
  Malformed = 1,
  /// This release does not support the format version of the payload.
  UnknownVersion,
  /// The queue of records to append is full.
  QueueFull,
  /// The record was not read back before the deadline; it may still be
  /// appended.
  NotConfirmed,
};

std::error_code make_error_code(StreamError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::StreamError> : std::true_type {};

#endif
