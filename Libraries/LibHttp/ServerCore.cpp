#include "LibHttp/ServerCore.h"

#include "LibHttp/HttpError.h"
#include "LibHttp/ReplyState.h"
#include "LibHttp/ResponseText.h"
#include "LibHttp/ServerHandler.h"

#include <algorithm>
#include <csignal>
#include <sys/resource.h>
#include <sys/socket.h>

namespace bergamothook::detail {

namespace {

constexpr int Backlog = 4096;
constexpr auto TimeoutCheckInterval = std::chrono::milliseconds(250);
constexpr const char *ConnectionKey = "connection";

/// File descriptors reserved for everything other than client connections.
constexpr rlim_t ReservedDescriptors = 256;

/// Reduces \p Requested to what the process's open file limit allows.
std::size_t connectionLimit(std::size_t Requested) {
  rlimit FileLimit{};
  if (getrlimit(RLIMIT_NOFILE, &FileLimit) != 0)
    return Requested;
  rlim_t Usable = FileLimit.rlim_cur > 2 * ReservedDescriptors
                      ? FileLimit.rlim_cur - ReservedDescriptors
                      : FileLimit.rlim_cur / 2;
  return std::min<std::size_t>(Requested, Usable);
}

std::shared_ptr<ServerConnection>
connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
  return std::static_pointer_cast<ServerConnection>(
      Peer->tryGetData(ConnectionKey));
}

} // namespace

ServerCore::ServerCore(HttpServerLimits Limits, HttpServer::Handler OnRequest)
    : OnRequest(std::move(OnRequest)) {
  Limits.MaxConnections = connectionLimit(Limits.MaxConnections);
  this->Limits = std::make_shared<const HttpServerLimits>(std::move(Limits));
  this->Sink = [this](HttpRequest Request, ReplyOptions Options,
                      const std::shared_ptr<ServerConnection> &Connection) {
    this->handleRequest(std::move(Request), Options, Connection);
  };
}

ServerCore::~ServerCore() { this->stop(); }

Result<void> ServerCore::useTls(const std::string &CertificateFile,
                                const std::string &KeyFile) {
  this->Certificate =
      std::make_unique<CertificateStore>(CertificateFile, KeyFile);
  return this->Certificate->load();
}

Result<void> ServerCore::reloadCertificate() {
  if (!this->Certificate)
    return HttpError::BadCertificate;
  return this->Certificate->load();
}

void ServerCore::listen() {
  using Pistache::Tcp::Options;
  Pistache::Flags<Options> Flags(Options::ReuseAddr);
  Flags.setFlag(Options::NoDelay);
  Flags.setFlag(Options::CloseOnExec);
  Pistache::Address ListenAddress(this->Limits->Address,
                                  Pistache::Port(this->Limits->Port));
  this->Listener = std::make_unique<Pistache::Tcp::Listener>(ListenAddress);
  this->Listener->init(this->Limits->Threads, Flags, "http", Backlog);
  this->Listener->setHandler(std::make_shared<ServerHandler>(this));
  this->Listener->bind();
  if (this->Certificate) {
    SSL_CTX *Context = captureContext([this] {
      this->Listener->setupSSL(this->Certificate->certificateFile(),
                               this->Certificate->keyFile(), false, nullptr);
    });
    this->Certificate->installOn(Context);
  }
  this->Listener->runThreaded();
}

Result<void> ServerCore::start() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    this->listen();
  } catch (const std::exception &) {
    this->Listener.reset();
    return HttpError::CannotListen;
  }
  this->TimeoutThread = std::thread([this] { this->runTimeoutThread(); });
  return success();
}

void ServerCore::stop() {
  {
    std::lock_guard Guard(this->Lock);
    this->IsStopping = true;
  }
  this->StopSignal.notify_all();
  if (this->TimeoutThread.joinable())
    this->TimeoutThread.join();
  if (!this->Listener)
    return;
  for (const auto &Connection : this->openConnections()) {
    Connection->abort();
    Connection->markDisconnected();
  }
  this->Listener->shutdown();
  this->Listener.reset();
}

std::uint16_t ServerCore::port() const {
  return this->Listener ? static_cast<std::uint16_t>(this->Listener->getPort())
                        : 0;
}

std::size_t ServerCore::connections() {
  std::lock_guard Guard(this->Lock);
  return this->Connections.size();
}

void ServerCore::onConnection(
    const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
  std::lock_guard Guard(this->Lock);
  bool IsFull = this->Connections.size() >= this->Limits->MaxConnections;
  if (IsFull || this->IsStopping || this->hasStaleWrites(Peer->fd())) {
    ::shutdown(Peer->fd(), SHUT_RDWR);
    return;
  }
  auto Connection = std::make_shared<ServerConnection>(Peer, this->Limits);
  Peer->putData(ConnectionKey, Connection);
  this->Connections[Connection.get()] = Connection;
}

bool ServerCore::hasStaleWrites(int Fd) {
  auto Found = this->ClosedWithPendingWrites.find(Fd);
  if (Found == this->ClosedWithPendingWrites.end())
    return false;
  if (Found->second->hasPendingWrites())
    return true;
  this->ClosedWithPendingWrites.erase(Found);
  return false;
}

void ServerCore::onInput(const char *Bytes, std::size_t Length,
                         const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
  auto Connection = connectionOf(Peer);
  if (Connection)
    Connection->receive(Bytes, Length, readMonotonicClock(), this->Sink);
}

void ServerCore::onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
  auto Connection = connectionOf(Peer);
  if (!Connection)
    return;
  Connection->markDisconnected();
  std::lock_guard Guard(this->Lock);
  this->Connections.erase(Connection.get());
  if (Connection->hasPendingWrites())
    this->ClosedWithPendingWrites[Connection->fd()] = Connection;
}

void ServerCore::handleRequest(
    HttpRequest Request, ReplyOptions Options,
    const std::shared_ptr<ServerConnection> &Connection) {
  bool IsFull = *this->ActiveRequests >= this->Limits->MaxRequests;
  HttpReply Reply(
      std::make_shared<ReplyState>(Connection, Options, this->ActiveRequests));
  if (IsFull) {
    Reply.sendResponse(503, ProblemContentType,
                       problemBody(503, "too many requests at once"),
                       {{"Retry-After", "1"}});
    return;
  }
  this->OnRequest(std::move(Request), Reply);
}

std::vector<std::shared_ptr<ServerConnection>> ServerCore::openConnections() {
  std::vector<std::shared_ptr<ServerConnection>> Open;
  std::lock_guard Guard(this->Lock);
  for (const auto &[Key, Connection] : this->Connections)
    Open.push_back(Connection);
  return Open;
}

void ServerCore::runTimeoutThread() {
  for (;;) {
    {
      std::unique_lock Guard(this->Lock);
      if (this->StopSignal.wait_for(Guard, TimeoutCheckInterval,
                                    [this] { return this->IsStopping; }))
        return;
    }
    TimePoint Now = readMonotonicClock();
    for (const auto &Connection : this->openConnections())
      Connection->enforceTimeouts(Now);
  }
}

} // namespace bergamothook::detail
