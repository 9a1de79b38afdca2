/// \file
/// The handle by which a service answers one HTTP request.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPREPLY_H
#define BERGAMOTHOOK_LIBHTTP_HTTPREPLY_H

#include "LibHttp/HttpRequest.h"

#include <memory>

namespace bergamothook {

namespace detail {
class ReplyState;
} // namespace detail

/// Answers one request, from any thread. Copies answer the same request. When
/// the last copy goes before the answer ended, the caller gets status 500, or
/// sees its stream cut, so that a cut answer never passes for a whole one.
class HttpReply {
public:
  explicit HttpReply(std::shared_ptr<detail::ReplyState> State);

  /// Sends a whole answer.
  void sendResponse(int Status, const std::string &ContentType,
                    const std::string &Body,
                    const HttpHeaders &ExtraHeaders = {});

  /// Sends the status and the headers of an answer whose body follows piece by
  /// piece.
  void beginStream(int Status, const std::string &ContentType,
                   const HttpHeaders &ExtraHeaders = {});

  /// Sends one piece of a begun answer. \returns false when the caller is gone,
  /// or was cut off since it left too many bytes unread.
  bool write(const std::string &Piece);

  /// Marks the end of a begun answer.
  void end();

  /// Cuts the connection off, so that the caller sees an incomplete answer.
  void abort();

  bool isClientDisconnected() const;

private:
  std::shared_ptr<detail::ReplyState> State;
};

} // namespace bergamothook

#endif
