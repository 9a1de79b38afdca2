/// \file
/// The state shared by the threads of an HTTP server.

#ifndef BERGAMOTHOOK_LIBHTTP_SERVERCORE_H
#define BERGAMOTHOOK_LIBHTTP_SERVERCORE_H

#include "LibHttp/CertificateStore.h"
#include "LibHttp/HttpServer.h"
#include "LibHttp/ServerConnection.h"

#include <condition_variable>
#include <pistache/listener.h>
#include <thread>
#include <unordered_map>

namespace bergamothook::detail {

/// The listener, the connection table, and the thread that enforces timeouts.
class ServerCore {
public:
  ServerCore(HttpServerLimits Limits, HttpServer::Handler OnRequest);
  ~ServerCore();
  ServerCore(const ServerCore &) = delete;
  ServerCore &operator=(const ServerCore &) = delete;

  Result<void> useTls(const std::string &CertificateFile,
                      const std::string &KeyFile);
  Result<void> reloadCertificate();
  Result<void> start();
  void stop();
  std::uint16_t port() const;
  std::size_t connections();
  std::size_t activeRequests() const { return *this->ActiveRequests; }

  // Called on the worker threads.
  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer);
  void onInput(const char *Bytes, std::size_t Length,
               const std::shared_ptr<Pistache::Tcp::Peer> &Peer);
  void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer);

private:
  void listen();
  bool hasStaleWrites(int Fd);
  void handleRequest(HttpRequest Request, ReplyOptions Options,
                     const std::shared_ptr<ServerConnection> &Connection);
  void runTimeoutThread();
  std::vector<std::shared_ptr<ServerConnection>> openConnections();

  std::shared_ptr<const HttpServerLimits> Limits;
  HttpServer::Handler OnRequest;
  std::shared_ptr<std::atomic<std::size_t>> ActiveRequests =
      std::make_shared<std::atomic<std::size_t>>(0);
  ServerConnection::RequestSink Sink;
  std::unique_ptr<CertificateStore> Certificate;
  std::unique_ptr<Pistache::Tcp::Listener> Listener;
  std::thread TimeoutThread;

  std::mutex Lock;
  std::condition_variable StopSignal;
  bool IsStopping = false;
  std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>>
      Connections;
  /// Closed connections with pending writes, by file descriptor.
  std::unordered_map<int, std::shared_ptr<ServerConnection>>
      ClosedWithPendingWrites;
};

} // namespace bergamothook::detail

#endif
