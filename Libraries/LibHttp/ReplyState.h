/// \file
/// The state shared by the copies of an HttpReply.

#ifndef BERGAMOTHOOK_LIBHTTP_REPLYSTATE_H
#define BERGAMOTHOOK_LIBHTTP_REPLYSTATE_H

#include "LibHttp/ServerConnection.h"

namespace bergamothook::detail {

/// The response to one request. Used by one thread at a time.
class ReplyState {
public:
  ReplyState(std::shared_ptr<ServerConnection> Connection, ReplyOptions Options,
             std::shared_ptr<std::atomic<std::size_t>> ActiveRequests);
  ~ReplyState();
  ReplyState(const ReplyState &) = delete;
  ReplyState &operator=(const ReplyState &) = delete;

  void sendResponse(int Status, const std::string &ContentType,
                    const std::string &Body, HttpHeaders ExtraHeaders);
  void beginStream(int Status, const std::string &ContentType,
                   HttpHeaders ExtraHeaders);
  bool write(const std::string &Chunk);
  void end();
  void abort();
  bool isClientDisconnected() { return this->Connection->isDisconnected(); }

private:
  enum class Phase { NotStarted, Streaming, Ended };

  void markEnded();
  void addConnectionHeader(HttpHeaders &Headers) const;

  std::shared_ptr<ServerConnection> Connection;
  ReplyOptions Options;
  std::shared_ptr<std::atomic<std::size_t>> ActiveRequests;
  Phase CurrentPhase = Phase::NotStarted;

  // A streamed response to a client that doesn't accept chunks is buffered and
  // sent as a whole.
  int BufferedStatus = 0;
  std::string BufferedContentType;
  HttpHeaders BufferedHeaders;
  std::string BufferedBody;
};

} // namespace bergamothook::detail

#endif
