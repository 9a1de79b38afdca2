/// \file
/// The head of a response, line by line as libcurl passes it on. libcurl
/// accepts lines that no head may hold (RFC 9112, sections 4 and 5).

#ifndef BERGAMOTHOOK_LIBHTTP_RESPONSEHEAD_H
#define BERGAMOTHOOK_LIBHTTP_RESPONSEHEAD_H

#include "LibHttp/HttpRequest.h"

#include <string_view>

namespace bergamothook::detail {

class ResponseHead {
public:
  /// Adds a line with its end. The head of an interim response is replaced by
  /// the one that follows. Lines of a trailer are only checked. \returns false
  /// if no head may hold the line.
  bool addLine(std::string_view Line);

  /// \returns whether the head of the final response has ended.
  bool isComplete() const { return this->IsComplete; }

  int status() const { return static_cast<int>(this->Status); }

  /// The fields, with names in lower case.
  const HttpHeaders &fields() const { return this->Fields; }

  /// \returns whether something else than the end of the connection delimits
  /// the body of a response to a request that may have one.
  bool isDelimited() const;

private:
  bool end();
  bool addStatusLine(std::string_view Line);
  bool addField(std::string_view Line);

  /// 0 before the status line.
  unsigned Status = 0;
  HttpHeaders Fields;
  bool IsComplete = false;
};

} // namespace bergamothook::detail

#endif
