/// \file
/// An input stream over bytes that stay where they are.

#ifndef BERGAMOTHOOK_LIBLEDGER_DETAIL_MEMORYSTREAM_H
#define BERGAMOTHOOK_LIBLEDGER_DETAIL_MEMORYSTREAM_H

#include <istream>
#include <streambuf>
#include <string_view>

namespace bergamothook::detail {

/// Reads \p Bytes without a copy. They must outlive it.
class MemoryStream : private std::streambuf {
public:
  explicit MemoryStream(std::string_view Bytes)
      : std::streambuf(), Stream(this) {
    char *Begin = const_cast<char *>(Bytes.data());
    this->setg(Begin, Begin, Begin + Bytes.size());
  }

  bool isAtEnd() const { return this->gptr() == this->egptr(); }

  std::istream Stream;
};

} // namespace bergamothook::detail

#endif
