#include "LibRelayFront/RelayServer.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace detail {

/// Counts something for the duration of a scope.
class ScopedCount {
public:
  explicit ScopedCount(std::size_t &Count) : Count(Count) { ++this->Count; }
  ~ScopedCount() { --this->Count; }
  ScopedCount(const ScopedCount &) = delete;
  ScopedCount &operator=(const ScopedCount &) = delete;

private:
  std::size_t &Count;
};

} // namespace detail

namespace {

/// How long a write may block on a caller that does not read.
constexpr Duration WriteTimeout = std::chrono::seconds(5);
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
/// Retry-After of a call that is refused for want of descriptors: by then, the
/// load balancer chooses another host for the caller's next connection.
constexpr Duration DescriptorRetryAfter = std::chrono::milliseconds(500);
/// Requests that have not been read whole are of no team yet.
const MemoryOwner UnreadRequests = hash64("unread requests");

unsigned statusOf(std::error_code Failure) {
  if (Failure == NetError::HeadTooLarge)
    return 431;
  if (Failure == NetError::BodyTooLarge)
    return 413;
  if (Failure == NetError::TimedOut)
    return 408;
  if (Failure == NetError::OutOfMemory)
    return 503;
  return 400;
}

} // namespace

/// The state of one connection.
struct RelayServer::Session {
  TcpConnection::Handle Connection;
  Event Changed;
  HttpRequestReader Reader;
  ConnectionRoster::Entry Place;
  /// Unset once a request was read.
  std::optional<TimePoint> OpenedAt;
  bool MustClose = false;
  bool MustAbort = false;

  Session(const TcpConnection::Handle &Connection, const Runtime &Tasks,
          ConnectionRoster &Roster)
      : Connection(Connection), Reader(Connection, Tasks, this->Changed),
        Place(Roster, Connection, Tasks.Now()), OpenedAt(Tasks.Now()) {}
};

RelayServer::RelayServer(NetRuntime &Loop, RelayServerSettings Settings,
                         RelayDispatcher &Dispatcher, Decode Decoder)
    : Loop(Loop), Tasks(Loop.hooks()), Settings(std::move(Settings)),
      Dispatcher(Dispatcher), Decoder(std::move(Decoder)),
      Roster(this->Settings.Clients),
      Listener(Loop, this->listenerSettings(),
               [this](const TcpConnection::Handle &Connection) {
                 this->handleConnection(Connection);
               }),
      Plan(this->Settings.Stop) {}

TcpListenerSettings RelayServer::listenerSettings() {
  TcpListenerSettings Listen = this->Settings.Listen;
  Listen.MakeRoom = [this] { return this->Roster.evictOne(this->Tasks.Now()); };
  return Listen;
}

bool RelayServer::mayExit() const {
  return this->Plan.mayExit(this->InProgress, this->connections(),
                            this->Tasks.Now());
}

void RelayServer::stop(Duration Grace) {
  this->Plan.begin(Grace, this->Tasks.Now());
  this->wakeCalls();
  for (bool HasWokenToAnswer = false; !this->mayExit();) {
    TimePoint Now = this->Tasks.Now();
    if (!HasWokenToAnswer && this->Plan.mustAnswer(Now)) {
      HasWokenToAnswer = true;
      this->wakeCalls();
    }
    TimePoint Next = Now + StopCheckInterval;
    this->Tasks.sleepUntil(
        HasWokenToAnswer ? Next : std::min(Next, this->Plan.answerDeadline()));
  }
  this->Listener.stop();
}

void RelayServer::wakeCalls() {
  for (Event *Changed : this->Sessions)
    Changed->notify();
}

CallerLimits RelayServer::limits() const {
  return this->Dispatcher.config() ? this->Dispatcher.config()->Limits
                                   : CallerLimits{};
}

void RelayServer::handleConnection(const TcpConnection::Handle &Connection) {
  Connection->setOwners({UnreadRequests});
  Session Client(Connection, this->Tasks, this->Roster);
  ScopedEventAttachment Attached(Connection, Client.Changed);
  try {
    this->Sessions.insert(&Client.Changed);
    this->serveConnection(Client);
  } catch (const std::exception &Failure) {
    // One connection must not end the process, and with it all others.
    logEvent(LogLevel::Error, "connection_failed",
             {{"reason", Failure.what()}});
    Client.MustAbort = true;
  }
  this->Sessions.erase(&Client.Changed);
  Client.Place.enter(ConnectionPhase::Closing, this->Tasks.Now());
  this->Listener.resume();
  if (!Client.MustAbort)
    this->sendRest(*Connection);
  if (Client.MustAbort)
    Connection->abort();
  else
    Connection->finish(this->Tasks.Now() + this->Settings.CloseTimeout);
}

void RelayServer::sendRest(TcpConnection &Connection) {
  TimePoint End =
      this->Plan.hasStarted() ? this->Plan.answerDeadline() : TimePoint::max();
  // A caller that reads slowly gets its whole response, as long as it reads.
  for (std::uint64_t Sent = 0; Connection.unsent() > 0 &&
                               Connection.bytesSent() != Sent &&
                               this->Tasks.Now() < End;) {
    Sent = Connection.bytesSent();
    TimePoint Until = std::min(End, this->Tasks.Now() + WriteTimeout);
    if (!Connection.flush(Until) && Connection.hasEnded())
      return;
  }
}

void RelayServer::serveConnection(Session &Client) {
  while (!Client.MustClose && this->waitForRequest(Client) &&
         !Client.Connection->isClosed()) {
    CallerLimits Limits = this->limits();
    if (!Client.OpenedAt)
      Client.Place.enter(ConnectionPhase::NextRequest, this->Tasks.Now());
    auto Message = Client.Reader.read(
        {Limits.MaxHeadBytes + this->Settings.ExtraHeadBytes,
         Limits.MaxBodyBytes},
        this->Tasks.Now() + Limits.HeadTimeout, [&Client, this] {
          (void)Client.Connection->write("HTTP/1.1 100 Continue\r\n\r\n",
                                         this->Tasks.Now() + WriteTimeout);
        });
    if (!Message) {
      this->refuseMessage(Client, Message.error());
      break;
    }
    Client.OpenedAt.reset();
    Client.Place.enter(ConnectionPhase::Answering, this->Tasks.Now());
    detail::ScopedCount Counted(this->InProgress);
    bool KeepsOpen = this->serveRequest(Client, std::move(Message.value()));
    Client.Connection->keep(0);
    if (!KeepsOpen)
      break;
    Client.Connection->setOwners({UnreadRequests});
    Client.Place.enter(ConnectionPhase::Idle, this->Tasks.Now());
    this->Listener.resume();
  }
}

bool RelayServer::waitForRequest(Session &Client) {
  TimePoint IdleEnd = this->Tasks.Now() + this->limits().IdleTimeout;
  for (;;) {
    TimePoint End = IdleEnd;
    bool WasStopping = this->Plan.hasStarted();
    if (WasStopping)
      End = std::min(End, this->Plan.idleDeadline(Client.OpenedAt));
    if (Client.Reader.waitForFirstByte(
            End, [&] { return this->Plan.hasStarted() != WasStopping; }))
      return true;
    if (Client.Connection->hasEnded() || this->Tasks.Now() >= End)
      return false;
  }
}

void RelayServer::refuseMessage(Session &Client, std::error_code Failure) {
  if (Failure == NetError::Closed || Failure == NetError::Reset)
    return; // The caller disconnected before its request was complete.
  unsigned Status = statusOf(Failure);
  logEvent(LogLevel::Warning, "request_refused",
           {{"status", Status}, {"reason", Failure.message()}});
  RelayCall Call;
  Call.ArrivedAt = this->Tasks.Now();
  HttpResponseHead Head =
      this->Dispatcher.hooks().MakeRefusal(Status, Call, std::nullopt);
  Head.KeepAlive = false;
  std::string Body = nlohmann::json{{"error",
                                     {{"message", Failure.message()},
                                      {"outcome", nameOf(RelayEnd::NotRun)}}}}
                         .dump();
  (void)Client.Connection->write(
      formatResponseHead(Head, BodyFraming::Length, Body.size()) + Body,
      this->Tasks.Now() + WriteTimeout);
}

CallerHooks RelayServer::makeCallerHooks(Session &Client,
                                         const DecodedCall &Decoded) const {
  CallerHooks Caller;
  Caller.Changed = &Client.Changed;
  Caller.HasLeft = [&Client] { return Client.Connection->hasEnded(); };
  Caller.MustAnswer = [this] {
    return this->Plan.mustAnswer(this->Tasks.Now());
  };
  Caller.MaySend = [this](TimePoint Deadline, bool MayRepeat) {
    return this->Plan.maySend(Deadline, MayRepeat);
  };
  auto Write = [&Client, this](std::string_view Bytes) {
    return Client.Connection->write(
        Bytes, this->Tasks.Now() + WriteTimeout,
        [this] { return this->Plan.mustAnswer(this->Tasks.Now()); });
  };
  auto Refusal = std::make_shared<RelayReason>(RelayReason::None);
  Caller.WillRefuse = [Refusal](RelayReason Reason) { *Refusal = Reason; };
  auto PrepareHead = [&Client, &Decoded, Refusal, this](HttpResponseHead Head) {
    if (Decoded.Seal)
      Decoded.Seal(Head, *Refusal);
    Client.MustClose = Client.MustClose || this->Plan.hasStarted() ||
                       this->Settings.Load.EndsConnection();
    Head.KeepAlive = !Client.MustClose;
    return Head;
  };
  Caller.SendResponse = [=, &Client, this](const HttpResponseHead &Head,
                                           std::string_view Body) {
    return Client.Connection->writeMessage(
        formatResponseHead(PrepareHead(Head), BodyFraming::Length, Body.size()),
        Body, this->Tasks.Now() + WriteTimeout);
  };
  Caller.BeginStream = [=](const HttpResponseHead &Head) {
    return Write(
        formatResponseHead(PrepareHead(Head), BodyFraming::Chunked, 0));
  };
  Caller.SendChunk = [=](std::string_view Bytes) {
    return Write(formatChunk(Bytes));
  };
  Caller.EndStream = [=] { return Write(LastChunk); };
  Caller.AbortStream = [&Client] { Client.MustAbort = true; };
  return Caller;
}

std::optional<Duration> RelayServer::refuse(const RelayCall &Call) {
  std::size_t Limit = this->Settings.MaxConnectionsAndCalls;
  if (Limit > 0 && this->connections() + this->InProgress > Limit) {
    ++this->DescriptorRefusals;
    return DescriptorRetryAfter;
  }
  return this->Settings.Load.Refuse(Call, this->Tasks.Now());
}

bool RelayServer::serveRequest(Session &Client, HttpRequestMessage Message) {
  Client.MustClose = !Message.Head.KeepAlive;
  std::optional<DecodedCall> Read;
  try {
    Read = this->Decoder(std::move(Message), this->Tasks.Now());
  } catch (const std::bad_alloc &) {
    Read.reset();
  }
  if (!Read) {
    this->refuseMessage(Client, NetError::OutOfMemory);
    return false;
  }
  DecodedCall &Decoded = *Read;
  if (Decoded.RefusalStatus == 0 &&
      !this->Plan.accepts(Decoded.Call.deadline(), Decoded.Call.mayRepeat(),
                          this->Tasks.Now())) {
    Decoded.RefusalStatus = 503;
    Decoded.Reason = RelayReason::Stopping;
    Decoded.RetryAfter = StoppingRetryAfter;
  }
  if (Decoded.RefusalStatus == 0)
    if (auto RetryAfter = this->refuse(Decoded.Call)) {
      Decoded.RefusalStatus = 503;
      Decoded.Reason = RelayReason::HostOverloaded;
      Decoded.RetryAfter = RetryAfter;
    }
  Client.Connection->setOwners({Decoded.Call.memoryOwner()});
  CallerHooks Caller = this->makeCallerHooks(Client, Decoded);
  RelayOutcome Outcome =
      Decoded.RefusalStatus != 0
          ? this->Dispatcher.refuse(Decoded.Call, Caller, Decoded.RefusalStatus,
                                    Decoded.Reason, Decoded.RetryAfter)
          : this->Dispatcher.serve(Decoded.Call, Caller);
  if (Outcome.End == RelayEnd::CallerLeft)
    Client.MustAbort = true;
  return !Client.MustAbort && !Client.MustClose;
}

} // namespace bergamothook
