#include "LibRelayFront/StatusServer.h"

#include "LibBase/Hash.h"
#include "LibNet/HttpReader.h"
#include "LibRelayFront/ConnectionLimits.h"

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
/// What the kernel holds of a client's pipelined requests, and of responses
/// that it does not read.
constexpr int ReceiveBufferBytes = 8 * 1024;
constexpr int SendBufferBytes = 16 * 1024;
const MemoryOwner StatusRequests = hash64("status requests");

} // namespace

StatusServer::StatusServer(NetRuntime &Loop, const std::string &Address,
                           MemoryBudgetHandle Memory, ResponseHandler Handler)
    : Tasks(Loop.hooks()), Handler(std::move(Handler)), Roster(Address),
      Listener(Loop, this->listenerSettings(Address, std::move(Memory)),
               [this](const TcpConnection::Handle &Connection) {
                 this->serveConnection(Connection);
               }) {}

TcpListenerSettings StatusServer::listenerSettings(const std::string &Address,
                                                   MemoryBudgetHandle Memory) {
  TcpListenerSettings Listen{Address, Backlog, MaxStatusConnections, {}};
  Listen.Limits.ReceiveBufferBytes = ReceiveBufferBytes;
  Listen.Limits.SendBufferBytes = SendBufferBytes;
  Listen.Limits.Memory = std::move(Memory);
  Listen.Limits.Owners = {StatusRequests};
  Listen.MakeRoom = [this] { return this->Roster.evictOne(this->Tasks.Now()); };
  return Listen;
}

void StatusServer::serveConnection(const TcpConnection::Handle &Connection) {
  Event Changed;
  ScopedEventAttachment Attached(Connection, Changed);
  HttpRequestReader Reader(Connection, this->Tasks, Changed);
  ConnectionRoster::Entry Place(this->Roster, Connection, this->Tasks.Now());
  // A timeout is handled before the arrival of bytes if both are due.
  while (Reader.waitForFirstByte(this->Tasks.Now() + IdleTimeout,
                                 neverCancelled) ||
         Connection->readArrived()) {
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
    Connection->keep(0);
    Place.enter(ConnectionPhase::Idle, this->Tasks.Now());
    this->Listener.resume();
  }
  Place.enter(ConnectionPhase::Closing, this->Tasks.Now());
  this->Listener.resume();
  Connection->finish(this->Tasks.Now() + CloseTimeout);
}

} // namespace bergamothook
