/// \file
/// An HTTP/1.1 server based on Pistache's listener and parser.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPSERVER_H
#define BERGAMOTHOOK_LIBHTTP_HTTPSERVER_H

#include "LibBase/Result.h"
#include "LibHttp/HttpReply.h"
#include "LibHttp/HttpRequest.h"
#include "LibHttp/HttpServerLimits.h"

#include <functional>
#include <memory>

namespace bergamothook {

namespace detail {
class ServerCore;
} // namespace detail

/// Serves requests on its own threads. A malformed, oversized or incomplete
/// request gets an error response, or its connection is closed, without
/// reaching the handler.
class HttpServer {
public:
  /// Called on a thread of the server. Must not block: services post the
  /// request to their runtime.
  using Handler = std::function<void(HttpRequest, HttpReply)>;

  HttpServer(HttpServerLimits Limits, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Enables HTTPS with a certificate chain and a private key in PEM files.
  /// Must be called before start().
  Result<void> useTls(const std::string &CertificateFile,
                      const std::string &KeyFile);

  /// Reloads the certificate and its key for new connections. On failure the
  /// previous ones stay in use.
  Result<void> reloadCertificate();

  /// Starts listening and serving. Makes the process ignore SIGPIPE.
  Result<void> start();

  /// Closes all connections and stops the server's threads.
  void stop();

  /// The port on which the server listens, after start().
  std::uint16_t port() const;

  /// The number of open connections.
  std::size_t connections() const;

  /// The number of requests in progress.
  std::size_t activeRequests() const;

private:
  std::unique_ptr<detail::ServerCore> Core;
};

} // namespace bergamothook

#endif
