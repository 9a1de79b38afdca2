#include "LibHttp/ServerConnection.h"

#include "LibHttp/AnswerText.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace bergamothook::detail {

namespace {

using Pistache::Http::Private::BodyStep;
using Pistache::Http::Private::RequestLineStep;
using Pistache::Http::Private::State;

/// Room for the framing of a chunked body.
constexpr std::size_t FramingSlackBytes = 64 << 10;

/// How long a refused caller may take to read the refusal.
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

/// Whether the length of the body is told once, and as a number. Pistache takes
/// any text for a number, and a request whose length is told in two ways may be
/// read differently by those that it passes through.
bool hasClearLength(const Pistache::Http::Header::Collection &Headers) {
  auto Length = Headers.tryGetRaw("Content-Length");
  if (!Length)
    return true;
  std::string Digits = Length->value();
  return !Headers.tryGetRaw("Transfer-Encoding") && !Digits.empty() &&
         Digits.find_first_not_of("0123456789") == std::string::npos;
}

HttpRequest convert(const Pistache::Http::Request &Parsed) {
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

ReplyManner mannerOf(const HttpRequest &Request,
                     Pistache::Http::Version Version) {
  ReplyManner Manner;
  Manner.TakesChunks = Version == Pistache::Http::Version::Http11;
  std::string Connection = toLower(Request.header("connection"));
  Manner.KeepsConnection = Manner.TakesChunks && Connection != "close";
  Manner.IsHead = Request.Method == "HEAD";
  return Manner;
}

} // namespace

/// Lives as long as Pistache holds the bytes that it stands for, whether they
/// are sent, fail or are dropped.
struct ServerConnection::WriteToken {
  WriteToken(std::shared_ptr<ServerConnection> Owner, std::size_t Bytes,
             bool Closes)
      : Owner(std::move(Owner)), Bytes(Bytes), Closes(Closes) {}
  WriteToken(const WriteToken &) = delete;
  WriteToken &operator=(const WriteToken &) = delete;
  ~WriteToken() { this->Owner->settle(this->Bytes, this->Closes); }

  std::shared_ptr<ServerConnection> Owner;
  std::size_t Bytes;
  bool Closes;
};

ServerConnection::ServerConnection(
    const std::shared_ptr<Pistache::Tcp::Peer> &Peer,
    std::shared_ptr<const HttpServerLimits> Limits)
    : Peer(Peer), Limits(std::move(Limits)), Fd(Peer->fd()),
      Parser(this->Limits->MaxHeaderBytes + this->Limits->MaxBodyBytes +
             FramingSlackBytes),
      LastActivity(readMonotonicClock()), LastProgress(LastActivity) {}

void ServerConnection::receive(const char *Bytes, std::size_t Length,
                               TimePoint Now, const RequestSink &Sink) {
  {
    std::lock_guard Guard(this->Lock);
    if (this->Current == Phase::Closing)
      return;
    if (isBlank(Bytes, Length) &&
        (this->Current == Phase::Answering || this->FedBytes == 0))
      return;
    if (this->Current == Phase::Answering) {
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
      this->refuse(413, "request too large", Now);
      return;
    }
    this->parse(Now, Sink);
    // Pistache waits for more where a whole line holds no request.
    bool IsLineWhole = std::find(Bytes, Bytes + Length, '\n') != Bytes + Length;
    if (this->FedBytes > 0 && IsLineWhole &&
        this->Parser.step()->id() == RequestLineStep::Id)
      this->refuse(400, "malformed request", Now);
  } catch (const Pistache::Http::HttpError &Failure) {
    bool IsClientError = Failure.code() >= 400 && Failure.code() < 500;
    this->refuse(IsClientError ? Failure.code() : 400, "malformed request",
                 Now);
  } catch (const std::exception &) {
    this->refuse(400, "malformed request", Now);
  }
}

void ServerConnection::parse(TimePoint Now, const RequestSink &Sink) {
  State Reached = this->Parser.parse();
  if (Reached == State::Done) {
    this->dispatch(Now, Sink);
    return;
  }
  this->checkPartial(Now);
}

void ServerConnection::checkPartial(TimePoint Now) {
  if (this->Parser.step()->id() != BodyStep::Id) {
    if (this->FedBytes > this->Limits->MaxHeaderBytes)
      this->refuse(431, "request headers too large", Now);
    return;
  }
  {
    std::lock_guard Guard(this->Lock);
    this->HasHeaders = true;
  }
  const auto &Headers = this->Parser.request.headers();
  if (!hasClearLength(Headers)) {
    this->refuse(400, "unclear body length", Now);
    return;
  }
  auto Length = Headers.tryGet<Pistache::Http::Header::ContentLength>();
  bool IsTooLong = Length && Length->value() > this->Limits->MaxBodyBytes;
  if (IsTooLong || this->FedBytes > this->Limits->MaxHeaderBytes +
                                        this->Limits->MaxBodyBytes +
                                        FramingSlackBytes) {
    this->refuse(413, "request body too large", Now);
    return;
  }
  if (Headers.tryGetRaw("Expect") && !this->HasSentContinue) {
    this->HasSentContinue = true;
    this->send("HTTP/1.1 100 Continue\r\n\r\n", Now);
  }
}

void ServerConnection::dispatch(TimePoint Now, const RequestSink &Sink) {
  const auto &Parsed = this->Parser.request;
  if (!hasClearLength(Parsed.headers())) {
    this->refuse(400, "unclear body length", Now);
    return;
  }
  if (Parsed.body().size() > this->Limits->MaxBodyBytes) {
    this->refuse(413, "request body too large", Now);
    return;
  }
  HttpRequest Request = convert(Parsed);
  ReplyManner Manner = mannerOf(Request, Parsed.version());
  this->Parser.reset();
  this->FedBytes = 0;
  this->HasSentContinue = false;
  {
    std::lock_guard Guard(this->Lock);
    if (this->Current != Phase::Reading)
      return;
    this->Current = Phase::Answering;
    this->FirstByteAt.reset();
    this->HasHeaders = false;
  }
  Sink(std::move(Request), Manner, this->shared_from_this());
}

bool ServerConnection::send(std::string Bytes, TimePoint Now) {
  std::unique_lock Guard(this->Lock);
  std::size_t Unsent = this->UnsentBytes;
  if (Unsent > 0 && Unsent + Bytes.size() > this->Limits->MaxUnsentBytes) {
    this->cutLocked();
    return false;
  }
  return this->push(std::move(Guard), std::move(Bytes), false, Now);
}

void ServerConnection::finish(std::string Bytes, bool KeepsConnection,
                              TimePoint Now) {
  std::unique_lock Guard(this->Lock);
  bool Closes = !KeepsConnection || this->HasPipelinedInput;
  this->Current = Closes ? Phase::Closing : Phase::Reading;
  this->LastActivity = Now;
  this->push(std::move(Guard), std::move(Bytes), Closes, Now);
}

void ServerConnection::refuse(int Status, const char *Title, TimePoint Now) {
  std::unique_lock Guard(this->Lock);
  if (this->Current != Phase::Reading)
    return;
  this->Current = Phase::Closing;
  this->LastActivity = Now;
  std::string Body = problemBody(Status, Title);
  HttpHeaders Extra{{"Connection", "close"}};
  std::string Bytes =
      answerHead(Status, ProblemContentType, Extra, Body.size()) + Body;
  this->push(std::move(Guard), std::move(Bytes), true, Now);
}

void ServerConnection::cut() {
  std::lock_guard Guard(this->Lock);
  this->cutLocked();
}

void ServerConnection::cutLocked() {
  if (!this->IsGone)
    ::shutdown(this->Fd, SHUT_RDWR);
}

void ServerConnection::markGone() {
  std::lock_guard Guard(this->Lock);
  this->IsGone = true;
}

bool ServerConnection::isGone() {
  std::lock_guard Guard(this->Lock);
  return this->IsGone;
}

void ServerConnection::sweep(TimePoint Now) {
  bool IsHalfSent = false;
  {
    std::lock_guard Guard(this->Lock);
    Duration Allowed = this->HasHeaders ? this->Limits->BodyTimeout
                                        : this->Limits->HeaderTimeout;
    IsHalfSent = this->Current == Phase::Reading && this->FirstByteAt &&
                 Now > *this->FirstByteAt + Allowed;
    bool IsIdle = this->Current == Phase::Reading && !this->FirstByteAt &&
                  Now > this->LastActivity + this->Limits->IdleTimeout;
    bool Lingers = this->Current == Phase::Closing && this->UnsentBytes == 0 &&
                   Now > this->LastActivity + LingerTimeout;
    bool IsStalled =
        this->UnsentBytes > 0 &&
        Now > this->LastProgress.load() + this->Limits->StallTimeout;
    if (IsIdle || Lingers || IsStalled)
      this->cutLocked();
  }
  if (IsHalfSent)
    this->refuse(408, "request not sent in time", Now);
}

bool ServerConnection::push(std::unique_lock<std::mutex> Guard,
                            std::string Bytes, bool Closes, TimePoint Now) {
  auto Alive = this->Peer.lock();
  if (this->IsGone || !Alive)
    return false;
  std::size_t Size = Bytes.size();
  if (this->UnsentBytes == 0)
    this->LastProgress = Now;
  this->UnsentBytes += Size;
  ++this->UnsettledWrites;
  auto Token =
      std::make_shared<WriteToken>(this->shared_from_this(), Size, Closes);
  auto Sent =
      Alive->send(Pistache::RawBuffer(std::move(Bytes), Size), MSG_NOSIGNAL);
  // The worker may have sent the bytes already, so that the token could go
  // within the next call: it takes the lock.
  Guard.unlock();
  Sent.then([Token](ssize_t) {}, Pistache::Async::IgnoreException);
  return true;
}

void ServerConnection::settle(std::size_t Bytes, bool Closes) {
  this->LastProgress = readMonotonicClock();
  this->UnsentBytes -= Bytes;
  --this->UnsettledWrites;
  if (!Closes)
    return;
  std::lock_guard Guard(this->Lock);
  if (!this->IsGone)
    ::shutdown(this->Fd, SHUT_WR);
}

} // namespace bergamothook::detail
