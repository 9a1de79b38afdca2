#include "LibHttp/Transfer.h"

#include "LibHttp/HttpError.h"
#include "LibNet/SocketState.h"

namespace bergamothook::detail {

namespace {

/// Buffered body bytes at which the transfer is paused.
constexpr std::size_t MaxBufferedBytes = 256 << 10;

/// Connections that were idle for longer are not reused. Most servers close
/// idle connections only after a longer time.
constexpr long MaxIdleSeconds = 30;

std::string urlOf(const HttpCall &Call) {
  bool IsIpv6 = Call.Address.find(':') != std::string::npos;
  std::string Host = IsIpv6 ? "[" + Call.Address + "]" : Call.Address;
  return (Call.UsesTls ? "https://" : "http://") + Host + ":" +
         std::to_string(Call.Port) + Call.Path;
}

} // namespace

Transfer::Transfer(HttpCall Call)
    : Call(std::move(Call)), Easy(curl_easy_init()) {
  this->configure();
  this->configureRequest();
}

Transfer::~Transfer() {
  curl_easy_cleanup(this->Easy);
  curl_slist_free_all(this->HeaderLines);
}

void Transfer::configure() {
  CURL *Handle = this->Easy;
  curl_easy_setopt(Handle, CURLOPT_URL, urlOf(this->Call).c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  auto ConnectTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Call.ConnectTimeout);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(ConnectTimeout.count()));
  if (this->Call.UsesFreshConnection) {
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!this->Call.CaFile.empty())
    curl_easy_setopt(Handle, CURLOPT_CAINFO, this->Call.CaFile.c_str());
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, beforeRequest);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, this);
}

void Transfer::configureRequest() {
  CURL *Handle = this->Easy;
  for (const auto &[Name, Value] : this->Call.Headers)
    this->HeaderLines =
        curl_slist_append(this->HeaderLines, (Name + ": " + Value).c_str());
  this->HeaderLines = curl_slist_append(this->HeaderLines, "Expect:");
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, this->HeaderLines);
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, this->Call.Method.c_str());
  if (this->Call.Method == "HEAD")
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  if (!this->hasUpload())
    return;
  curl_easy_setopt(Handle, CURLOPT_POST, 1L);
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, this->Call.Body.data());
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(this->Call.Body.size()));
}

Result<void> Transfer::awaitHeaders(const Runtime &Tasks, TimePoint Deadline) {
  bool IsReady = Tasks.waitUntil(this->Changed, Deadline, [this] {
    std::lock_guard Guard(this->Lock);
    return this->Head.isComplete() || this->IsDone;
  });
  if (!IsReady)
    return this->abandon() ? HttpError::TimedOut : HttpError::ConnectFailed;
  std::lock_guard Guard(this->Lock);
  if (!this->Head.isComplete())
    return this->Failure;
  return success();
}

Result<std::optional<std::string>>
Transfer::next(const Runtime &Tasks, TimePoint Deadline, bool &MustResume) {
  bool IsReady = Tasks.waitUntil(this->Changed, Deadline, [this] {
    std::lock_guard Guard(this->Lock);
    return !this->Buffer.empty() || this->IsDone;
  });
  if (!IsReady)
    return HttpError::TimedOut;
  std::lock_guard Guard(this->Lock);
  MustResume = std::exchange(this->IsPaused, false);
  if (!this->Buffer.empty())
    return std::optional<std::string>(std::exchange(this->Buffer, {}));
  if (this->Failure)
    return this->Failure;
  return std::optional<std::string>();
}

bool Transfer::abandon() {
  std::lock_guard Guard(this->Lock);
  this->IsAbandoned = true;
  return this->MayBeSent;
}

void Transfer::finish(CURLcode Outcome) {
  {
    std::lock_guard Guard(this->Lock);
    this->IsDone = true;
    if (Outcome != CURLE_OK)
      this->Failure = this->errorOf(Outcome);
    else if (!this->Head.isComplete())
      this->Failure = HttpError::BadAnswer;
    // libcurl takes a FIN, and a RST that a write reported, for the end of such
    // a body.
    else if (this->endsWithConnection() && !this->WasReceived)
      this->Failure = HttpError::ConnectionLost;
  }
  this->Changed.notify();
}

void Transfer::onSocketReleased(curl_socket_t Socket) {
  curl_off_t WrittenBytes = 0;
  curl_easy_getinfo(this->Easy, CURLINFO_SIZE_UPLOAD_T, &WrittenBytes);
  std::lock_guard Guard(this->Lock);
  bool IsWritten =
      !this->hasUpload() ||
      WrittenBytes >= static_cast<curl_off_t>(this->Call.Body.size());
  this->WasReceived = IsWritten && hasPeerReceivedAll(Socket);
}

bool Transfer::hasUpload() const {
  return this->Call.Method != "GET" && this->Call.Method != "HEAD";
}

bool Transfer::endsWithConnection() const {
  return this->Call.Method != "HEAD" && !this->Head.isDelimited();
}

std::error_code Transfer::errorOf(CURLcode Outcome) const {
  if (!this->MayBeSent)
    return HttpError::ConnectFailed;
  if (this->IsHeadMalformed)
    return HttpError::BadAnswer;
  switch (Outcome) {
  case CURLE_OPERATION_TIMEDOUT:
    return HttpError::TimedOut;
  case CURLE_WEIRD_SERVER_REPLY:
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_BAD_CONTENT_ENCODING:
    return HttpError::BadAnswer;
  default:
    return HttpError::ConnectionLost;
  }
}

int Transfer::beforeRequest(void *Self, char *, char *, int, int) {
  auto *Call = static_cast<Transfer *>(Self);
  std::lock_guard Guard(Call->Lock);
  // A second call for the same transfer means that libcurl is about to resend
  // the request over a new connection because a reused one was dead.
  if (Call->IsAbandoned || Call->MayBeSent)
    return CURL_PREREQFUNC_ABORT;
  Call->MayBeSent = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t Transfer::onHeader(char *Bytes, std::size_t, std::size_t Length,
                               void *Self) {
  // libcurl fails the transfer unless it gets the length.
  return static_cast<Transfer *>(Self)->addHeaderLine({Bytes, Length}) ? Length
                                                                       : 0;
}

bool Transfer::addHeaderLine(std::string_view Line) {
  std::lock_guard Guard(this->Lock);
  this->IsHeadMalformed = !this->Head.addLine(Line);
  if (!this->IsHeadMalformed && this->Head.isComplete())
    this->Changed.notify();
  return !this->IsHeadMalformed;
}

std::size_t Transfer::onBody(char *Bytes, std::size_t, std::size_t Length,
                             void *Self) {
  auto *Call = static_cast<Transfer *>(Self);
  {
    std::lock_guard Guard(Call->Lock);
    if (Call->Buffer.size() >= MaxBufferedBytes) {
      Call->IsPaused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
    Call->Buffer.append(Bytes, Length);
  }
  Call->Changed.notify();
  return Length;
}

} // namespace bergamothook::detail
