/// \file
/// What the copies of one HttpReply share.

#ifndef BERGAMOTHOOK_LIBHTTP_REPLYSTATE_H
#define BERGAMOTHOOK_LIBHTTP_REPLYSTATE_H

#include "LibHttp/ServerConnection.h"

namespace bergamothook::detail {

/// The answer to one request. One thread at a time uses it.
class ReplyState {
public:
  ReplyState(std::shared_ptr<ServerConnection> Connection, ReplyManner Manner,
             std::shared_ptr<std::atomic<std::size_t>> ActiveRequests);
  ~ReplyState();
  ReplyState(const ReplyState &) = delete;
  ReplyState &operator=(const ReplyState &) = delete;

  void sendResponse(int Status, const std::string &ContentType,
                    const std::string &Body, HttpHeaders ExtraHeaders);
  void beginStream(int Status, const std::string &ContentType,
                   HttpHeaders ExtraHeaders);
  bool write(const std::string &Piece);
  void end();
  void abort();
  bool isClientDisconnected() { return this->Connection->isGone(); }

private:
  enum class Phase { Waiting, Streaming, Ended };

  void leave();
  void addConnectionHeader(HttpHeaders &Headers) const;

  std::shared_ptr<ServerConnection> Connection;
  ReplyManner Manner;
  std::shared_ptr<std::atomic<std::size_t>> ActiveRequests;
  Phase Current = Phase::Waiting;

  // The answer to a caller that takes no chunks is gathered and sent whole.
  int GatheredStatus = 0;
  std::string GatheredType;
  HttpHeaders GatheredHeaders;
  std::string Gathered;
};

} // namespace bergamothook::detail

#endif
