/// \file
/// A client connection: reads requests, and sends responses from any thread.

#ifndef BERGAMOTHOOK_LIBHTTP_SERVERCONNECTION_H
#define BERGAMOTHOOK_LIBHTTP_SERVERCONNECTION_H

#include "LibHttp/HttpRequest.h"
#include "LibHttp/HttpServerLimits.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <pistache/http.h>
#include <pistache/peer.h>

namespace bergamothook::detail {

/// How to respond to a parsed request.
struct ReplyOptions {
  bool KeepsConnection = true;
  bool IsHead = false;
  /// Whether the client supports the chunked transfer coding.
  bool AcceptsChunks = true;
};

/// Pistache queues writes by file descriptor, not by connection. Therefore
/// nothing is queued once the peer is known to have disconnected, and the
/// server closes a new connection with the same descriptor while writes of the
/// old one may still be queued.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  using RequestSink = std::function<void(
      HttpRequest, ReplyOptions, const std::shared_ptr<ServerConnection> &)>;

  ServerConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer,
                   std::shared_ptr<const HttpServerLimits> Limits);

  /// Processes received bytes, on the worker's thread. Passes a complete
  /// request to \p Sink and responds to a malformed one with an error.
  void receive(const char *Bytes, std::size_t Length, TimePoint Now,
               const RequestSink &Sink);

  /// Queues bytes of a response. \returns false if the client has disconnected,
  /// or is now disconnected because it left too many bytes unread.
  bool send(std::string Bytes, TimePoint Now);

  /// Queues the last bytes of a response and prepares the connection for the
  /// next request, or closes it once they are sent.
  void finish(std::string Bytes, bool KeepsConnection, TimePoint Now);

  /// Sends an error response and closes the connection.
  void reject(int Status, const char *Title, TimePoint Now);

  /// Closes the connection immediately.
  void abort();

  /// Must be called before Pistache closes the socket.
  void markDisconnected();

  bool isDisconnected();

  /// Closes the connection if one of its timeouts has expired at \p Now.
  void enforceTimeouts(TimePoint Now);

  /// Whether Pistache still has queued writes of this connection.
  bool hasPendingWrites() const { return this->PendingWrites > 0; }

  int fd() const { return this->Fd; }

private:
  enum class Phase { Reading, Responding, Closing };
  struct PendingWrite;

  void parse(TimePoint Now, const RequestSink &Sink);
  void checkIncomplete(TimePoint Now);
  void dispatch(TimePoint Now, const RequestSink &Sink);
  bool enqueue(std::unique_lock<std::mutex> Guard, std::string Bytes,
               bool ClosesAfter, TimePoint Now);
  void completeWrite(std::size_t Bytes, bool ClosesAfter);
  void abortLocked();

  std::weak_ptr<Pistache::Tcp::Peer> Peer;
  std::shared_ptr<const HttpServerLimits> Limits;
  int Fd;

  // Accessed only by the worker's thread.
  Pistache::Http::RequestParser Parser;
  std::size_t FedBytes = 0;
  bool HasSentContinue = false;

  std::mutex Lock;
  Phase CurrentPhase = Phase::Reading;
  bool IsDisconnected = false;
  bool HasPipelinedInput = false;
  bool HasHeaders = false;
  std::optional<TimePoint> FirstByteAt;
  TimePoint LastActivity;

  std::atomic<std::size_t> UnsentBytes = 0;
  std::atomic<std::size_t> PendingWrites = 0;
  std::atomic<TimePoint> LastProgress;
};

} // namespace bergamothook::detail

#endif
