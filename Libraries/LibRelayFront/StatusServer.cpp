#include "LibRelayFront/StatusServer.h"

#include "LibNet/HttpReader.h"

namespace bergamothook {

namespace {

constexpr Duration IdleTimeout = std::chrono::seconds(10);
constexpr Duration ReadTimeout = std::chrono::seconds(3);
constexpr Duration CloseTimeout = std::chrono::seconds(1);
/// Bytes of a head and of a body; requests to this port are a line or two.
constexpr HttpReadLimits SmallRequests{8 * 1024, 64 * 1024};
/// The load balancer and the metrics collector send about one request per
/// second.
constexpr int Backlog = 64;
constexpr std::size_t MaxConnections = 100;

} // namespace

StatusServer::StatusServer(NetRuntime &Loop, const std::string &Address,
                           ResponseHandler Handler)
    : Tasks(Loop.hooks()), Handler(std::move(Handler)),
      Listener(Loop, {Address, Backlog, MaxConnections, {}},
               [this](const TcpConnection::Handle &Connection) {
                 this->serveConnection(Connection);
               }) {}

void StatusServer::serveConnection(const TcpConnection::Handle &Connection) {
  Event Changed;
  ScopedEventAttachment Attached(Connection, Changed);
  HttpRequestReader Reader(Connection, this->Tasks, Changed);
  while (Reader.waitForFirstByte(this->Tasks.Now() + IdleTimeout,
                                 [] { return false; })) {
    auto Message =
        Reader.read(SmallRequests, this->Tasks.Now() + ReadTimeout, [] {});
    if (!Message)
      return;
    const std::string &Target = Message.value().Head.Target;
    StatusResponse Response = this->Handler(Target.substr(0, Target.find('?')));
    HttpResponseHead Head;
    Head.Status = Response.Status;
    Head.KeepAlive = Message.value().Head.KeepAlive;
    Head.Headers.add("Content-Type", Response.ContentType);
    std::string Bytes =
        formatResponseHead(Head, BodyFraming::Length, Response.Body.size()) +
        Response.Body;
    if (!Connection->write(Bytes, this->Tasks.Now() + ReadTimeout) ||
        !Head.KeepAlive)
      break;
  }
  Connection->finish(this->Tasks.Now() + CloseTimeout);
}

} // namespace bergamothook
