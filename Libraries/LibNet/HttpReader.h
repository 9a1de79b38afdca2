/// \file
/// Reads HTTP/1.1 messages from a connection.

#ifndef BERGAMOTHOOK_LIBNET_HTTPREADER_H
#define BERGAMOTHOOK_LIBNET_HTTPREADER_H

#include "LibNet/HttpMessage.h"
#include "LibNet/TcpConnection.h"

namespace bergamothook {

struct HttpReadLimits {
  std::uint32_t MaxHeadBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 4 * 1024 * 1024;
};

struct HttpRequestMessage {
  HttpRequestHead Head;
  std::string Body;
};

/// Reads whole requests. A message of two readings (a length beside chunks, two
/// lengths, a fold in a header) is refused, since it is how one request is
/// smuggled inside another.
class HttpRequestReader {
public:
  HttpRequestReader(TcpConnection::Handle Connection, Runtime Tasks,
                    Event &Changed)
      : Connection(std::move(Connection)), Tasks(std::move(Tasks)),
        Changed(Changed) {}

  /// Waits for the first byte of a request. \returns false at the deadline, at
  /// the end of the connection, or when \p IsGivenUp holds.
  bool waitForFirstByte(TimePoint Deadline,
                        const std::function<bool()> &IsGivenUp);

  /// Reads one request. \p OnContinue is called when the caller waits for leave
  /// to send its body.
  Result<HttpRequestMessage> read(const HttpReadLimits &Limits,
                                  TimePoint Deadline,
                                  const std::function<void()> &OnContinue);

private:
  TcpConnection::Handle Connection;
  Runtime Tasks;
  Event &Changed;
};

/// Reads one response in pieces as they arrive.
class HttpResponseReader {
public:
  HttpResponseReader(TcpConnection::Handle Connection, Runtime Tasks,
                     Event &Changed, bool HasNoBody);
  ~HttpResponseReader();
  HttpResponseReader(HttpResponseReader &&) noexcept;

  /// Reads the head; informational responses are passed over. NetError::
  /// Cancelled as soon as \p IsGivenUp holds.
  Result<HttpResponseHead> readHead(TimePoint Deadline,
                                    const std::function<bool()> &IsGivenUp);

  /// Reads what has arrived of the body, waiting for something. The end of the
  /// connection before the end of the message is an error.
  Result<BodyPiece> readBody(TimePoint Deadline,
                             const std::function<bool()> &IsGivenUp);

  /// Reads the rest of the body, at most \p MaxBytes.
  Result<std::string> readAll(std::size_t MaxBytes, TimePoint Deadline,
                              const std::function<bool()> &IsGivenUp);

  /// Tells whether the message is complete and the connection can carry
  /// another exchange.
  bool canReuse() const;

private:
  struct State;

  Result<void> advance(TimePoint Deadline,
                       const std::function<bool()> &IsGivenUp);

  TcpConnection::Handle Connection;
  Runtime Tasks;
  Event *Changed;
  std::unique_ptr<State> Present;
};

} // namespace bergamothook

#endif
