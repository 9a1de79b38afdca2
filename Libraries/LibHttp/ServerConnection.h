/// \file
/// One caller's connection: reads requests, and sends answers from any thread.

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

/// How a parsed request wants to be answered.
struct ReplyManner {
  bool KeepsConnection = true;
  bool IsHead = false;
  /// Whether the caller understands chunked bodies.
  bool TakesChunks = true;
};

/// Pistache queues bytes for a socket number, not for a connection. So no bytes
/// are queued once the peer is known to be gone, and the server refuses a new
/// connection with the same number while older bytes may still be queued.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  using RequestSink = std::function<void(
      HttpRequest, ReplyManner, const std::shared_ptr<ServerConnection> &)>;

  ServerConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer,
                   std::shared_ptr<const HttpServerLimits> Limits);

  /// Takes bytes from the caller, on the worker's thread. Gives a whole request
  /// to \p Sink and answers a malformed one with a typed error.
  void receive(const char *Bytes, std::size_t Length, TimePoint Now,
               const RequestSink &Sink);

  /// Queues bytes of an answer. \returns false when the caller is gone, or is
  /// cut off now since it left too many bytes unread.
  bool send(std::string Bytes, TimePoint Now);

  /// Queues the last bytes of an answer and makes the connection ready for the
  /// next request, or closes it behind them.
  void finish(std::string Bytes, bool KeepsConnection, TimePoint Now);

  /// Answers with a typed error and closes the connection.
  void refuse(int Status, const char *Title, TimePoint Now);

  /// Closes the connection at once.
  void cut();

  /// Tells that Pistache is about to close the socket.
  void markGone();

  bool isGone();

  /// Closes a connection whose caller is too slow at the time \p Now.
  void sweep(TimePoint Now);

  /// Whether bytes for this connection are still queued in Pistache.
  bool hasUnsettledWrites() const { return this->UnsettledWrites > 0; }

  int fd() const { return this->Fd; }

private:
  enum class Phase { Reading, Answering, Closing };
  struct WriteToken;

  void parse(TimePoint Now, const RequestSink &Sink);
  void checkPartial(TimePoint Now);
  void dispatch(TimePoint Now, const RequestSink &Sink);
  bool push(std::unique_lock<std::mutex> Guard, std::string Bytes, bool Closes,
            TimePoint Now);
  void settle(std::size_t Bytes, bool Closes);
  void cutLocked();

  std::weak_ptr<Pistache::Tcp::Peer> Peer;
  std::shared_ptr<const HttpServerLimits> Limits;
  int Fd;

  // Used on the worker's thread only.
  Pistache::Http::RequestParser Parser;
  std::size_t FedBytes = 0;
  bool HasSentContinue = false;

  std::mutex Lock;
  Phase Current = Phase::Reading;
  bool IsGone = false;
  bool HasPipelinedInput = false;
  bool HasHeaders = false;
  std::optional<TimePoint> FirstByteAt;
  TimePoint LastActivity;

  std::atomic<std::size_t> UnsentBytes = 0;
  std::atomic<std::size_t> UnsettledWrites = 0;
  std::atomic<TimePoint> LastProgress;
};

} // namespace bergamothook::detail

#endif
