#include "LibLedger/MemoryStream.h"

namespace bergamothook::detail {

MemoryStream::MemoryStream(std::string_view Bytes)
    : std::streambuf(), Stream(this) {
  char *Begin = const_cast<char *>(Bytes.data());
  this->setg(Begin, Begin, Begin + Bytes.size());
}

bool MemoryStream::isAtEnd() const { return this->gptr() == this->egptr(); }

} // namespace bergamothook::detail
