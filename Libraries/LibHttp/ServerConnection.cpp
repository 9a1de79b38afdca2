#include "LibHttp/ServerConnection.h"

#include "LibHttp/ResponseText.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace bergamothook::detail {

namespace {

using Pistache::Http::Private::BodyStep;
using Pistache::Http::Private::RequestLineStep;
using Pistache::Http::Private::State;

/// The maximum overhead of the chunked transfer coding.
constexpr std::size_t MaxChunkFramingBytes = 64 << 10;

/// How long a connection that the server is closing stays open for the client
/// to read the response.
constexpr Duration LingerTimeout = std::chrono::seconds(2);

bool isBlank(const char *Bytes, std::size_t Length) {
  return std::all_of(Bytes, Bytes + Length,
                     [](char Byte) { return Byte == '\r' || Byte == '\n'; });
}

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Byte) { return std::tolower(Byte); });
  return Text;
}

/// Whether the body's length is specified only once and is a number. Pistache
/// accepts any text as a number, and proxies may interpret a request with both
/// a Content-Length and a Transfer-Encoding differently (request smuggling).
bool hasUnambiguousLength(const Pistache::Http::Header::Collection &Headers) {
  auto Length = Headers.tryGetRaw("Content-Length");
  if (!Length)
    return true;
  std::string Digits = Length->value();
  return !Headers.tryGetRaw("Transfer-Encoding") && !Digits.empty() &&
         Digits.find_first_not_of("0123456789") == std::string::npos;
}

HttpRequest toHttpRequest(const Pistache::Http::Request &Parsed) {
  HttpRequest Request;
  Request.Method = Pistache::Http::methodString(Parsed.method());
  Request.Path = Parsed.resource();
  std::string Query = Parsed.query().as_str();
  Request.Query = Query.empty() ? Query : Query.substr(1);
  for (const auto &[Name, Raw] : Parsed.headers().rawList())
    Request.Headers[toLower(Name)] = Raw.value();
  Request.Body = Parsed.body();
  return Request;
}

ReplyOptions replyOptionsOf(const HttpRequest &Request,
                            Pistache::Http::Version Version) {
  ReplyOptions Options;
  Options.AcceptsChunks = Version == Pistache::Http::Version::Http11;
  std::string Connection = toLower(Request.header("connection"));
  Options.KeepsConnection = Options.AcceptsChunks && Connection != "close";
  Options.IsHead = Request.Method == "HEAD";
  return Options;
}

} // namespace

/// Tracks the bytes of one write while Pistache holds them. Destroyed once they
/// are sent, fail or are dropped.
struct ServerConnection::PendingWrite {
  PendingWrite(std::shared_ptr<ServerConnection> Connection, std::size_t Bytes,
               bool ClosesAfter)
      : Connection(std::move(Connection)), Bytes(Bytes),
        ClosesAfter(ClosesAfter) {}
  PendingWrite(const PendingWrite &) = delete;
  PendingWrite &operator=(const PendingWrite &) = delete;
  ~PendingWrite() {
    this->Connection->completeWrite(this->Bytes, this->ClosesAfter);
  }

  std::shared_ptr<ServerConnection> Connection;
  std::size_t Bytes;
  bool ClosesAfter;
};

ServerConnection::ServerConnection(
    const std::shared_ptr<Pistache::Tcp::Peer> &Peer,
    std::shared_ptr<const HttpServerLimits> Limits)
    : Peer(Peer), Limits(std::move(Limits)), Fd(Peer->fd()),
      Parser(this->Limits->MaxHeaderBytes + this->Limits->MaxBodyBytes +
             MaxChunkFramingBytes),
      LastActivity(readMonotonicClock()), LastProgress(LastActivity) {}

void ServerConnection::receive(const char *Bytes, std::size_t Length,
                               TimePoint Now, const RequestSink &Sink) {
  {
    std::lock_guard Guard(this->Lock);
    if (this->CurrentPhase == Phase::Closing)
      return;
    if (isBlank(Bytes, Length) &&
        (this->CurrentPhase == Phase::Responding || this->FedBytes == 0))
      return;
    if (this->CurrentPhase == Phase::Responding) {
      this->HasPipelinedInput = true;
      return;
    }
    this->LastActivity = Now;
    if (!this->FirstByteAt)
      this->FirstByteAt = Now;
  }
  this->FedBytes += Length;
  try {
    if (!this->Parser.feed(Bytes, Length)) {
      this->reject(413, "request too large", Now);
      return;
    }
    this->parse(Now, Sink);
    // Pistache waits for more input if a complete line is not a request line.
    bool HasCompleteLine =
        std::find(Bytes, Bytes + Length, '\n') != Bytes + Length;
    if (this->FedBytes > 0 && HasCompleteLine &&
        this->Parser.step()->id() == RequestLineStep::Id)
      this->reject(400, "malformed request", Now);
  } catch (const Pistache::Http::HttpError &Failure) {
    bool IsClientError = Failure.code() >= 400 && Failure.code() < 500;
    this->reject(IsClientError ? Failure.code() : 400, "malformed request",
                 Now);
  } catch (const std::exception &) {
    this->reject(400, "malformed request", Now);
  }
}

void ServerConnection::parse(TimePoint Now, const RequestSink &Sink) {
  State ParserState = this->Parser.parse();
  if (ParserState == State::Done) {
    this->dispatch(Now, Sink);
    return;
  }
  this->checkIncomplete(Now);
}

void ServerConnection::checkIncomplete(TimePoint Now) {
  if (this->Parser.step()->id() != BodyStep::Id) {
    if (this->FedBytes > this->Limits->MaxHeaderBytes)
      this->reject(431, "request headers too large", Now);
    return;
  }
  {
    std::lock_guard Guard(this->Lock);
    this->HasHeaders = true;
  }
  const auto &Headers = this->Parser.request.headers();
  if (!hasUnambiguousLength(Headers)) {
    this->reject(400, "unclear body length", Now);
    return;
  }
  auto Length = Headers.tryGet<Pistache::Http::Header::ContentLength>();
  bool IsTooLong = Length && Length->value() > this->Limits->MaxBodyBytes;
  if (IsTooLong || this->FedBytes > this->Limits->MaxHeaderBytes +
                                        this->Limits->MaxBodyBytes +
                                        MaxChunkFramingBytes) {
    this->reject(413, "request body too large", Now);
    return;
  }
  if (Headers.tryGetRaw("Expect") && !this->HasSentContinue) {
    this->HasSentContinue = true;
    this->send("HTTP/1.1 100 Continue\r\n\r\n", Now);
  }
}

void ServerConnection::dispatch(TimePoint Now, const RequestSink &Sink) {
  const auto &Parsed = this->Parser.request;
  if (!hasUnambiguousLength(Parsed.headers())) {
    this->reject(400, "unclear body length", Now);
    return;
  }
  if (Parsed.body().size() > this->Limits->MaxBodyBytes) {
    this->reject(413, "request body too large", Now);
    return;
  }
  HttpRequest Request = toHttpRequest(Parsed);
  ReplyOptions Options = replyOptionsOf(Request, Parsed.version());
  this->Parser.reset();
  this->FedBytes = 0;
  this->HasSentContinue = false;
  {
    std::lock_guard Guard(this->Lock);
    if (this->CurrentPhase != Phase::Reading)
      return;
    this->CurrentPhase = Phase::Responding;
    this->FirstByteAt.reset();
    this->HasHeaders = false;
  }
  Sink(std::move(Request), Options, this->shared_from_this());
}

bool ServerConnection::send(std::string Bytes, TimePoint Now) {
  std::unique_lock Guard(this->Lock);
  std::size_t Unsent = this->UnsentBytes;
  if (Unsent > 0 && Unsent + Bytes.size() > this->Limits->MaxUnsentBytes) {
    this->abortLocked();
    return false;
  }
  return this->enqueue(std::move(Guard), std::move(Bytes), false, Now);
}

void ServerConnection::finish(std::string Bytes, bool KeepsConnection,
                              TimePoint Now) {
  std::unique_lock Guard(this->Lock);
  bool ClosesAfter = !KeepsConnection || this->HasPipelinedInput;
  this->CurrentPhase = ClosesAfter ? Phase::Closing : Phase::Reading;
  this->LastActivity = Now;
  this->enqueue(std::move(Guard), std::move(Bytes), ClosesAfter, Now);
}

void ServerConnection::reject(int Status, const char *Title, TimePoint Now) {
  std::unique_lock Guard(this->Lock);
  if (this->CurrentPhase != Phase::Reading)
    return;
  this->CurrentPhase = Phase::Closing;
  this->LastActivity = Now;
  std::string Body = problemBody(Status, Title);
  HttpHeaders Extra{{"Connection", "close"}};
  std::string Bytes =
      responseHead(Status, ProblemContentType, Extra, Body.size()) + Body;
  this->enqueue(std::move(Guard), std::move(Bytes), true, Now);
}

void ServerConnection::abort() {
  std::lock_guard Guard(this->Lock);
  this->abortLocked();
}

void ServerConnection::abortLocked() {
  if (!this->IsDisconnected)
    ::shutdown(this->Fd, SHUT_RDWR);
}

void ServerConnection::markDisconnected() {
  std::lock_guard Guard(this->Lock);
  this->IsDisconnected = true;
}

bool ServerConnection::isDisconnected() {
  std::lock_guard Guard(this->Lock);
  return this->IsDisconnected;
}

void ServerConnection::enforceTimeouts(TimePoint Now) {
  bool IsRequestOverdue = false;
  {
    std::lock_guard Guard(this->Lock);
    Duration Timeout = this->HasHeaders ? this->Limits->BodyTimeout
                                        : this->Limits->HeaderTimeout;
    IsRequestOverdue = this->CurrentPhase == Phase::Reading &&
                       this->FirstByteAt && Now > *this->FirstByteAt + Timeout;
    bool IsIdle = this->CurrentPhase == Phase::Reading && !this->FirstByteAt &&
                  Now > this->LastActivity + this->Limits->IdleTimeout;
    bool IsLingerOver = this->CurrentPhase == Phase::Closing &&
                        this->UnsentBytes == 0 &&
                        Now > this->LastActivity + LingerTimeout;
    bool IsStalled =
        this->UnsentBytes > 0 &&
        Now > this->LastProgress.load() + this->Limits->StallTimeout;
    if (IsIdle || IsLingerOver || IsStalled)
      this->abortLocked();
  }
  if (IsRequestOverdue)
    this->reject(408, "request not sent in time", Now);
}

bool ServerConnection::enqueue(std::unique_lock<std::mutex> Guard,
                               std::string Bytes, bool ClosesAfter,
                               TimePoint Now) {
  auto LockedPeer = this->Peer.lock();
  if (this->IsDisconnected || !LockedPeer)
    return false;
  std::size_t Size = Bytes.size();
  if (this->UnsentBytes == 0)
    this->LastProgress = Now;
  this->UnsentBytes += Size;
  ++this->PendingWrites;
  auto Write = std::make_shared<PendingWrite>(this->shared_from_this(), Size,
                                              ClosesAfter);
  auto Sent = LockedPeer->send(Pistache::RawBuffer(std::move(Bytes), Size),
                               MSG_NOSIGNAL);
  // The worker may have sent the bytes already, so that the next call could
  // destroy Write, whose destructor takes the lock.
  Guard.unlock();
  Sent.then([Write](ssize_t) {}, Pistache::Async::IgnoreException);
  return true;
}

void ServerConnection::completeWrite(std::size_t Bytes, bool ClosesAfter) {
  this->LastProgress = readMonotonicClock();
  this->UnsentBytes -= Bytes;
  --this->PendingWrites;
  if (!ClosesAfter)
    return;
  std::lock_guard Guard(this->Lock);
  if (!this->IsDisconnected)
    ::shutdown(this->Fd, SHUT_WR);
}

} // namespace bergamothook::detail
