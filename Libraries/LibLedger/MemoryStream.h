/// \file
/// An input stream over a byte buffer, without a copy.

#ifndef BERGAMOTHOOK_LIBLEDGER_MEMORYSTREAM_H
#define BERGAMOTHOOK_LIBLEDGER_MEMORYSTREAM_H

#include <istream>
#include <streambuf>
#include <string_view>

namespace bergamothook::detail {

/// Reads \p Bytes in place. They must outlive the stream.
class MemoryStream : private std::streambuf {
public:
  explicit MemoryStream(std::string_view Bytes);

  bool isAtEnd() const;

  std::istream Stream;
};

} // namespace bergamothook::detail

#endif
