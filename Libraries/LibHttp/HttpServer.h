/// \file
/// An HTTP/1.1 server over Pistache's listener and parser.

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

/// Serves requests on its own threads. A malformed, oversized or half-sent
/// request gets a typed error or is closed without reaching the handler.
class HttpServer {
public:
  /// Called on a thread of the server, and must return at once: services post
  /// the request to their runtime.
  using Handler = std::function<void(HttpRequest, HttpReply)>;

  HttpServer(HttpServerLimits Limits, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Serves HTTPS with the certificate chain and the key in two PEM files. Call
  /// it before start().
  Result<void> useTls(const std::string &CertificateFile,
                      const std::string &KeyFile);

  /// Reads the certificate and its key again; connections from now on get them.
  /// On a failure the earlier ones stay in use.
  Result<void> reloadCertificate();

  /// Listens and serves. The process ignores SIGPIPE from now on.
  Result<void> start();

  /// Closes every connection and ends the server's threads.
  void stop();

  /// The port that the server listens on, after start().
  std::uint16_t port() const;

  /// The connections open now.
  std::size_t connections() const;

  /// The requests being answered now.
  std::size_t activeRequests() const;

private:
  std::unique_ptr<detail::ServerCore> Core;
};

} // namespace bergamothook

#endif
