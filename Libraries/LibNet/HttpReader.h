/// \file
/// Reads HTTP/1.1 messages from a connection.

#ifndef BERGAMOTHOOK_LIBNET_HTTPREADER_H
#define BERGAMOTHOOK_LIBNET_HTTPREADER_H

#include "LibNet/HttpMessage.h"
#include "LibNet/ProgressDeadline.h"
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

/// Reads complete requests. Rejects ambiguous messages (Content-Length together
/// with chunked encoding, two lengths, a folded header), since they allow
/// request smuggling.
class HttpRequestReader {
public:
  HttpRequestReader(TcpConnection::Handle Connection, Runtime Tasks,
                    Event &Changed)
      : Connection(std::move(Connection)), Tasks(std::move(Tasks)),
        Changed(Changed) {}

  /// Waits for the first byte of a request. \returns false if the deadline
  /// passes, the connection ends, or \p IsCancelled returns true.
  bool waitForFirstByte(TimePoint Deadline,
                        const std::function<bool()> &IsCancelled);

  /// Reads one request. \p OnContinue is called when the client sent
  /// "Expect: 100-continue" and waits for the interim response. The connection
  /// keeps the size of the body, and of fields where there are very many, until
  /// TcpConnection::keep() is called again. Fails with NetError::Cancelled if
  /// the rest of a request has to be waited for and \p IsCancelled returns
  /// true.
  Result<HttpRequestMessage>
  read(const HttpReadLimits &Limits, TimePoint Deadline,
       const std::function<void()> &OnContinue,
       const std::function<bool()> &IsCancelled = neverCancelled);

private:
  Result<HttpRequestMessage>
  readMessage(const HttpReadLimits &Limits, TimePoint Deadline,
              const std::function<void()> &OnContinue,
              const std::function<bool()> &IsCancelled);

  TcpConnection::Handle Connection;
  Runtime Tasks;
  Event &Changed;
};

/// Reads one response incrementally.
class HttpResponseReader {
public:
  HttpResponseReader(TcpConnection::Handle Connection, Runtime Tasks,
                     Event &Changed, bool HasNoBody);
  ~HttpResponseReader();
  HttpResponseReader(HttpResponseReader &&) noexcept;

  /// Reads the head, skipping informational (1xx) responses. Fails with
  /// NetError::Malformed if it is not one of an HTTP/1.1 response, and with
  /// NetError::Cancelled as soon as \p IsCancelled returns true.
  Result<HttpResponseHead> readHead(TimePoint Deadline,
                                    const std::function<bool()> &IsCancelled);

  /// Reads the body bytes that have arrived, waiting for at least one or for
  /// the end of the message. A connection that ends before the message is an
  /// error; so is one that does not end in order if only its end delimits the
  /// message.
  Result<BodyPiece> readBody(TimePoint Deadline,
                             const std::function<bool()> &IsCancelled);

  /// Reads the rest of the body. Fails with NetError::BodyTooLarge beyond
  /// \p MaxBytes.
  Result<std::string> readAll(std::size_t MaxBytes, TimePoint Deadline,
                              const std::function<bool()> &IsCancelled);

  /// As above, for as long as the body makes progress. Bytes that the kernel
  /// has received by the deadline count, however late the task runs.
  Result<std::string> readAll(std::size_t MaxBytes, ProgressPolicy Progress);

  /// \returns whether the message is complete and the connection can be reused
  /// for another exchange.
  bool canReuse() const;

private:
  struct State;

  /// \p ReadPiece reads what has arrived after the given number of bytes.
  Result<std::string>
  readRest(std::size_t MaxBytes,
           const std::function<Result<BodyPiece>(std::size_t)> &ReadPiece);
  Result<void> advance(TimePoint Deadline,
                       const std::function<bool()> &IsCancelled);

  TcpConnection::Handle Connection;
  Runtime Tasks;
  Event *Changed;
  std::unique_ptr<State> ParseState;
};

} // namespace bergamothook

#endif
