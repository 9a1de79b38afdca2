#include "LibRelayFront/RelayServer.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// How long a caller that does not read may hold up its answer.
constexpr Duration WriteTimeout = std::chrono::seconds(5);
/// Another host takes the call at once.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(50);

unsigned statusOf(std::error_code Failure) {
  if (Failure == NetError::HeadTooLarge)
    return 431;
  if (Failure == NetError::BodyTooLarge)
    return 413;
  if (Failure == NetError::TimedOut)
    return 408;
  return 400;
}

} // namespace

/// What the task of one connection holds.
struct RelayServer::Session {
  TcpConnection::Handle Connection;
  Event Changed;
  HttpRequestReader Reader;
  bool MustClose = false;
  bool IsBroken = false;

  Session(const TcpConnection::Handle &Connection, const Runtime &Tasks)
      : Connection(Connection), Reader(Connection, Tasks, this->Changed) {}
};

RelayServer::RelayServer(NetRuntime &Loop, RelayServerSettings Settings,
                         RelayDesk &Desk, Decode Decoder)
    : Loop(Loop), Tasks(Loop.hooks()), Settings(std::move(Settings)),
      Desk(Desk), Decoder(std::move(Decoder)),
      Listener(Loop, this->Settings.Listen,
               [this](const TcpConnection::Handle &Connection) {
                 this->serveConnection(Connection);
               }),
      Stop(this->Settings.Stop) {}

bool RelayServer::mayEnd() const {
  return this->Stop.mayEnd(this->InProgress, this->connections(),
                           this->Tasks.Now());
}

void RelayServer::beginStop(Duration Grace) {
  this->Stop.begin(Grace, this->Tasks.Now());
  for (Event *Changed : this->Sessions)
    Changed->notify();
}

CallerLimits RelayServer::limits() const {
  return this->Desk.config() ? this->Desk.config()->Limits : CallerLimits{};
}

void RelayServer::serveConnection(const TcpConnection::Handle &Connection) {
  Session Of(Connection, this->Tasks);
  ScopedEventAttachment Attached(Connection, Of.Changed);
  this->Sessions.insert(&Of.Changed);
  while (!Of.MustClose && this->waitForRequest(Of)) {
    CallerLimits Limits = this->limits();
    auto Message = Of.Reader.read(
        {Limits.MaxHeadBytes, Limits.MaxBodyBytes},
        this->Tasks.Now() + Limits.HeadTimeout, [&Of, this] {
          (void)Of.Connection->write("HTTP/1.1 100 Continue\r\n\r\n",
                                     this->Tasks.Now() + WriteTimeout);
        });
    if (!Message) {
      this->refuseMessage(Of, Message.error());
      break;
    }
    ++this->InProgress;
    bool MayGoOn = this->serveRequest(Of, std::move(Message.value()));
    --this->InProgress;
    if (!MayGoOn)
      break;
  }
  this->Sessions.erase(&Of.Changed);
  if (Of.IsBroken)
    Connection->abort();
  else
    Connection->finish(this->Tasks.Now() + this->Settings.CloseTimeout);
}

bool RelayServer::waitForRequest(Session &Of) {
  TimePoint IdleEnd = this->Tasks.Now() + this->limits().IdleTimeout;
  for (;;) {
    TimePoint End = IdleEnd;
    bool WasStopping = this->Stop.hasBegun();
    if (WasStopping)
      End = std::min(End, this->Stop.idleEnd());
    if (Of.Reader.waitForFirstByte(
            End, [&] { return this->Stop.hasBegun() != WasStopping; }))
      return true;
    if (Of.Connection->hasEnded() || this->Tasks.Now() >= End)
      return false;
  }
}

void RelayServer::refuseMessage(Session &Of, std::error_code Failure) {
  if (Failure == NetError::Closed || Failure == NetError::Reset)
    return; // The caller left before its request was whole.
  unsigned Status = statusOf(Failure);
  logEvent(LogLevel::Warning, "request_refused",
           {{"status", Status}, {"reason", Failure.message()}});
  RelayCall Call;
  Call.ArrivedAt = this->Tasks.Now();
  HttpResponseHead Head =
      this->Desk.hooks().MakeRefusal(Status, Call, std::nullopt);
  Head.KeepAlive = false;
  std::string Body = nlohmann::json{{"error",
                                     {{"message", Failure.message()},
                                      {"outcome", nameOf(RelayEnd::NotRun)}}}}
                         .dump();
  (void)Of.Connection->write(
      formatResponseHead(Head, BodyFraming::Length, Body.size()) + Body,
      this->Tasks.Now() + WriteTimeout);
}

CallerSide RelayServer::callerSide(Session &Of) const {
  CallerSide Caller;
  Caller.Changed = &Of.Changed;
  Caller.HasLeft = [&Of] { return Of.Connection->hasEnded(); };
  auto Write = [&Of, this](std::string_view Bytes) {
    return Of.Connection->write(Bytes, this->Tasks.Now() + WriteTimeout);
  };
  auto Decide = [&Of, this](HttpResponseHead Head) {
    Of.MustClose = Of.MustClose || this->Stop.hasBegun();
    Head.KeepAlive = !Of.MustClose;
    return Head;
  };
  Caller.SendWhole = [=](const HttpResponseHead &Head, std::string_view Body) {
    return Write(
        formatResponseHead(Decide(Head), BodyFraming::Length, Body.size())
            .append(Body));
  };
  Caller.BeginStream = [=](const HttpResponseHead &Head) {
    return Write(formatResponseHead(Decide(Head), BodyFraming::Chunked, 0));
  };
  Caller.SendPiece = [=](std::string_view Bytes) {
    return Write(formatChunk(Bytes));
  };
  Caller.EndStream = [=] { return Write(LastChunk); };
  Caller.BreakStream = [&Of] { Of.IsBroken = true; };
  return Caller;
}

bool RelayServer::serveRequest(Session &Of, HttpRequestMessage Message) {
  Of.MustClose = !Message.Head.KeepAlive;
  DecodedCall Decoded = this->Decoder(std::move(Message), this->Tasks.Now());
  if (Decoded.RefusalStatus == 0 &&
      !this->Stop.takes(Decoded.Call.deadline(), this->Tasks.Now())) {
    Decoded.RefusalStatus = 503;
    Decoded.Reason = RelayReason::Stopping;
    Decoded.RetryAfter = StoppingRetryAfter;
  }
  CallerSide Caller = this->callerSide(Of);
  RelayOutcome Outcome =
      Decoded.RefusalStatus != 0
          ? this->Desk.refuse(Decoded.Call, Caller, Decoded.RefusalStatus,
                              Decoded.Reason, Decoded.RetryAfter)
          : this->Desk.serve(Decoded.Call, Caller);
  if (Outcome.End == RelayEnd::CallerLeft)
    Of.IsBroken = true;
  return !Of.IsBroken && !Of.MustClose;
}

} // namespace bergamothook
