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

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
/// Retry-After of a call that is refused for want of descriptors: by then, the
/// load balancer chooses another host for the caller's next connection.
constexpr Duration DescriptorRetryAfter = std::chrono::milliseconds(500);
/// Requests that have not been read whole are of no team yet.
const MemoryOwner UnreadRequests = hash64("unread requests");
constexpr const char *TooManyConnections =
    "the connection is closed to accept others";
constexpr const char *HandlingFailed = "the request could not be handled";

unsigned statusOf(std::error_code Failure) {
  if (Failure == NetError::HeadTooLarge)
    return 431;
  if (Failure == NetError::BodyTooLarge)
    return 413;
  if (Failure == NetError::TimedOut)
    return 408;
  if (Failure == NetError::OutOfMemory || Failure == NetError::Cancelled)
    return 503;
  return 400;
}

/// Formats the response to a HEAD request, which states the length of the body
/// that it lacks: that of the target, or of the refusal of \p BodyBytes.
std::string formatHeadResponse(const HttpResponseHead &Head,
                               std::size_t BodyBytes) {
  if (BodyBytes == 0 && !Head.Length)
    return formatResponseHead(Head, BodyFraming::None, 0);
  return formatResponseHead(Head, BodyFraming::Length,
                            Head.Length.value_or(BodyBytes));
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
  ConnectionEnd End;
  /// The idle timeout in force as the connection was opened, or as its last
  /// response was sent.
  Duration IdleTimeout{};
  /// The bytes sent before the response to the request in progress; unset if
  /// there is none.
  std::optional<std::uint64_t> SentBeforeResponse;
  /// The request in progress is a HEAD request.
  bool IsHeadRequest = false;
  /// Whether a stream is sent in chunks; otherwise the end of the connection
  /// is its end.
  bool ReadsChunks = true;

  Session(const TcpConnection::Handle &Connection, const Runtime &Tasks,
          ConnectionRoster &Roster)
      : Connection(Connection), Reader(Connection, Tasks, this->Changed),
        Place(Roster, Connection, Tasks.Now()), OpenedAt(Tasks.Now()) {}
};

RelayServer::RelayServer(NetRuntime &Loop, RelayServerSettings Settings,
                         RelayDispatcher &Dispatcher, Decode Decoder)
    : Loop(Loop), Tasks(Loop.hooks()), Settings(std::move(Settings)),
      Dispatcher(Dispatcher), Decoder(std::move(Decoder)),
      Roster(this->Settings.Clients,
             [this] { return this->formatEvictionRefusal(); }),
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

bool RelayServer::mayExit() {
  std::size_t Waiting = this->Listener.hasWaiting() ? 1 : 0;
  return this->Plan.mayExit(this->InProgress, this->connections() + Waiting,
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
  Client.IdleTimeout = this->limits().IdleTimeout;
  ScopedEventAttachment Attached(Connection, Client.Changed);
  try {
    this->Sessions.insert(&Client.Changed);
    this->serveConnection(Client);
  } catch (const std::exception &Failure) {
    // One connection must not end the process, and with it all others.
    logEvent(LogLevel::Error, "connection_failed",
             {{"reason", Failure.what()}});
    Client.End.Cause = ConnectionEndCause::TaskFailure;
  }
  // Not inside of the handler above: tasks that wait while they handle an
  // exception would mix it up with those of other tasks.
  try {
    if (Client.End.Cause == ConnectionEndCause::TaskFailure)
      this->answerFailure(Client);
  } catch (const std::bad_alloc &) {
    Client.MustAbort = true;
  }
  this->Sessions.erase(&Client.Changed);
  Client.Place.enter(ConnectionPhase::Closing, this->Tasks.Now());
  this->Listener.resume();
  if (!Client.MustAbort)
    this->sendRest(*Connection);
  Client.End.UnansweredBytes = Connection->unread().size();
  TimePoint CloseDeadline = this->Tasks.Now() + this->Settings.CloseTimeout;
  if (Client.MustAbort)
    Connection->abort();
  else if (Client.End.wasIdle())
    Client.End.UnansweredBytes = Connection->finishUnread(CloseDeadline);
  else
    Client.End.UnansweredBytes = Connection->finish(CloseDeadline);
  try {
    this->recordEnd(Client);
  } catch (const std::bad_alloc &) {
    // One line that is missing must not end the process.
  }
}

void RelayServer::answerFailure(Session &Client) {
  TcpConnection &Connection = *Client.Connection;
  if (!Client.SentBeforeResponse ||
      Connection.bytesSent() != *Client.SentBeforeResponse ||
      Connection.unsent() > 0) {
    Client.MustAbort = true;
    return;
  }
  (void)Connection.write(
      this->formatRefusal(500, HandlingFailed, RelayEnd::Unknown),
      this->Tasks.Now() + this->Settings.WriteTimeout);
}

void RelayServer::recordEnd(const Session &Client) {
  const ConnectionEnd &End = Client.End;
  // After a refusal, what is left is the rest of the refused message.
  if (End.UnansweredBytes == 0 || End.Cause == ConnectionEndCause::Refusal)
    return;
  auto Milliseconds = [](Duration Value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  };
  this->Dispatcher.stats().count("relay_connections_cut_total{cause=\"" +
                                 std::string(nameOf(End.Cause)) + "\"}");
  logEvent(LogLevel::Warning, "connection_cut",
           {{"cause", nameOf(End.Cause)},
            {"unanswered_bytes", End.UnansweredBytes},
            {"idle_ms", Milliseconds(End.Idle)},
            {"idle_timeout_ms", Milliseconds(End.IdleTimeout)},
            {"late_ms", Milliseconds(End.Late)}});
}

void RelayServer::sendRest(TcpConnection &Connection) {
  TimePoint End =
      this->Plan.hasStarted() ? this->Plan.answerDeadline() : TimePoint::max();
  // A caller that reads slowly gets its whole response, as long as it reads.
  for (std::uint64_t Sent = 0; Connection.unsent() > 0 &&
                               Connection.bytesSent() != Sent &&
                               this->Tasks.Now() < End;) {
    Sent = Connection.bytesSent();
    TimePoint Until =
        std::min(End, this->Tasks.Now() + this->Settings.WriteTimeout);
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
        this->Tasks.Now() + Limits.HeadTimeout,
        [&Client, this] {
          (void)Client.Connection->write("HTTP/1.1 100 Continue\r\n\r\n",
                                         this->Tasks.Now() +
                                             this->Settings.WriteTimeout);
        },
        [this] { return this->Plan.mustAnswer(this->Tasks.Now()); });
    if (!Message) {
      Client.End.Cause = ConnectionEndCause::Refusal;
      this->refuseMessage(Client, Message.error());
      break;
    }
    Client.OpenedAt.reset();
    Client.Place.enter(ConnectionPhase::Answering, this->Tasks.Now());
    Client.SentBeforeResponse = Client.Connection->bytesSent();
    detail::ScopedCount Counted(this->InProgress);
    bool KeepsOpen = this->serveRequest(Client, std::move(Message.value()));
    Client.SentBeforeResponse.reset();
    Client.Connection->keep(0);
    if (!KeepsOpen) {
      Client.End.Cause = Client.MustAbort ? ConnectionEndCause::Call
                                          : ConnectionEndCause::Announced;
      break;
    }
    Client.Connection->setOwners({UnreadRequests});
    Client.Place.enter(ConnectionPhase::Idle, this->Tasks.Now());
    this->Listener.resume();
  }
}

bool RelayServer::waitForRequest(Session &Client) {
  TimePoint Begin = this->Tasks.Now();
  for (;;) {
    bool IsStopping = this->Plan.hasStarted();
    // Callers may know the configuration of then, or the newest one.
    Client.End.IdleTimeout =
        std::max(Client.IdleTimeout, this->limits().IdleTimeout);
    TimePoint End = Begin + Client.End.IdleTimeout + this->Settings.IdleGrace;
    if (IsStopping)
      End = std::min(End, this->Plan.idleDeadline(Client.OpenedAt));
    TimePoint Now = this->Tasks.Now();
    if (Now >= End) {
      // The next request may arrive while the last response is being sent.
      this->sendRest(*Client.Connection);
      // A timeout is handled before the arrival of bytes if both are due.
      if (Client.Connection->readArrived())
        return true;
      Client.End.Cause = IsStopping ? ConnectionEndCause::Stop
                                    : ConnectionEndCause::IdleTimeout;
      Client.End.Idle = Now - Begin;
      Client.End.Late = Now - End;
      return false;
    }
    if (Client.Reader.waitForFirstByte(
            End, [&] { return this->Plan.hasStarted() != IsStopping; }))
      return true;
    if (Client.Connection->hasEnded()) {
      Client.End.Cause = Client.Connection->isClosed()
                             ? ConnectionEndCause::Eviction
                             : ConnectionEndCause::Caller;
      return false;
    }
  }
}

std::string RelayServer::formatEvictionRefusal() const {
  try {
    return this->formatRefusal(503, TooManyConnections, RelayEnd::NotRun);
  } catch (const std::bad_alloc &) {
    // Without a refusal, the connection is closed all the same.
    return "";
  }
}

std::string RelayServer::formatRefusal(unsigned Status,
                                       const std::string &Reason,
                                       RelayEnd Outcome) const {
  RelayCall Call;
  Call.ArrivedAt = this->Tasks.Now();
  HttpResponseHead Head =
      this->Dispatcher.hooks().MakeRefusal(Status, Call, std::nullopt);
  Head.KeepAlive = false;
  std::string Body =
      nlohmann::json{
          {"error", {{"message", Reason}, {"outcome", nameOf(Outcome)}}}}
          .dump();
  return formatResponseHead(Head, BodyFraming::Length, Body.size()) + Body;
}

void RelayServer::refuseMessage(Session &Client, std::error_code Failure) {
  if (Failure == NetError::Closed || Failure == NetError::Reset)
    return; // The caller disconnected before its request was complete.
  unsigned Status = statusOf(Failure);
  logEvent(LogLevel::Warning, "request_refused",
           {{"status", Status}, {"reason", Failure.message()}});
  (void)Client.Connection->write(
      this->formatRefusal(Status, Failure.message(), RelayEnd::NotRun),
      this->Tasks.Now() + this->Settings.WriteTimeout);
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
    return Client.Connection->writeAsRead(
        Bytes, this->Settings.WriteTimeout,
        [this] { return this->Plan.mustAnswer(this->Tasks.Now()); });
  };
  auto Refusal = std::make_shared<RelayReason>(RelayReason::None);
  Caller.WillRefuse = [Refusal](RelayReason Reason) { *Refusal = Reason; };
  auto PrepareHead = [&Client, &Decoded, Refusal, this](HttpResponseHead Head) {
    if (Decoded.Seal)
      Decoded.Seal(Head, *Refusal);
    // The response to the last request that has arrived announces the end.
    if (!Client.MustClose && !Client.Connection->readArrived())
      Client.MustClose =
          this->Plan.hasStarted() || this->Settings.Load.EndsConnection();
    Head.KeepAlive = !Client.MustClose;
    Client.IdleTimeout = this->limits().IdleTimeout;
    auto Seconds =
        std::chrono::floor<std::chrono::seconds>(Client.IdleTimeout).count();
    if (Head.KeepAlive && Seconds > 0)
      Head.Headers.add("Keep-Alive", "timeout=" + std::to_string(Seconds));
    return Head;
  };
  Caller.SendResponse = [=, &Client, this](const HttpResponseHead &Head,
                                           std::string_view Body) {
    std::string Formatted =
        Client.IsHeadRequest
            ? formatHeadResponse(PrepareHead(Head), Body.size())
            : formatResponseHead(PrepareHead(Head), BodyFraming::Length,
                                 Body.size());
    return Client.Connection->writeMessageAsRead(
        std::move(Formatted), Client.IsHeadRequest ? "" : Body,
        this->Settings.WriteTimeout);
  };
  Caller.BeginStream = [=, &Client](const HttpResponseHead &Head) {
    Client.MustClose = Client.MustClose || !Client.ReadsChunks;
    return Write(formatResponseHead(
        PrepareHead(Head),
        Client.ReadsChunks ? BodyFraming::Chunked : BodyFraming::None, 0));
  };
  Caller.SendChunk = [=, &Client](std::string_view Bytes) {
    return Client.ReadsChunks ? Write(formatChunk(Bytes)) : Write(Bytes);
  };
  Caller.EndStream = [=, &Client]() -> Result<void> {
    if (!Client.ReadsChunks)
      return success();
    return Write(LastChunk);
  };
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
  Client.IsHeadRequest = Message.Head.Method == "HEAD";
  Client.ReadsChunks = Message.Head.ReadsChunks;
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
