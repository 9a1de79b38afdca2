#include "LibStandinServer/LogStandin.h"

#include "LibAdapter/LogWire.h"
#include "LibHttp/UrlCoding.h"

#include <algorithm>
#include <optional>

namespace bergamothook {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(60);
constexpr std::uint64_t MaxWaitMs = 60000;
constexpr std::uint64_t DefaultEntries = 1000;
constexpr std::uint64_t MaxEntries = 10000;
constexpr Duration HangPollInterval = std::chrono::milliseconds(100);

struct LogPath {
  std::string Stream;
  std::string Action;
};

/// Parses "/log/STREAM/ACTION".
std::optional<LogPath> parsePath(const std::string &Path) {
  const std::string Prefix = "/log/";
  std::size_t Slash = Path.rfind('/');
  if (Path.rfind(Prefix, 0) != 0 || Slash <= Prefix.size())
    return std::nullopt;
  std::string Stream = Path.substr(Prefix.size(), Slash - Prefix.size());
  return LogPath{urlDecode(Stream), Path.substr(Slash + 1)};
}

int statusOf(std::error_code Error) {
  if (Error == LogError::BelowRetention)
    return 410;
  if (Error == LogError::TooLarge)
    return 413;
  if (Error == LogError::RateLimited)
    return 429;
  return 503;
}

/// Sends the status for \p Error, or closes the connection for a lost response.
void sendLogError(HttpReply &Reply, std::error_code Error) {
  if (Error == LogError::ResponseLost)
    Reply.abort();
  else
    sendError(Reply, statusOf(Error), Error);
}

} // namespace

LogStandin::LogStandin(LogLimits Limits, std::uint64_t Seed, Runtime Tasks)
    : Log(Limits, Seed), Tasks(std::move(Tasks)),
      Hooks(makeMemoryLogHooks(this->Log, this->Tasks)) {
  this->Faults.addFlag("is_down", this->Log.Faults.IsDown);
  this->Faults.addFlag("hangs", this->Hangs);
  this->Faults.addNumber("lose_before_effect",
                         this->Log.Faults.LoseBeforeEffect);
  this->Faults.addNumber("lose_after_effect", this->Log.Faults.LoseAfterEffect);
  this->Faults.addCount("lose_next_answers", this->DropNextResponses);
  this->Faults.addTime("latency_ms", this->Log.Faults.Latency);
  this->Faults.addTime("retention_ms", this->Log.Limits.Retention);
  this->Faults.addNumber("appends_per_second",
                         this->Log.Limits.AppendsPerSecond);
}

void LogStandin::serve(const HttpRequest &Request, HttpReply Reply) {
  if (serveCommonPaths(Request, Reply, this->Faults))
    return;
  if (Request.Path == "/ledger") {
    sendJson(Reply, 200, {{"appends", this->Log.Appends}});
    return;
  }
  this->hang(Reply);
  auto Path = parsePath(Request.Path);
  if (Path && Path->Action == "entries" && Request.Method == "POST")
    this->append(Path->Stream, Request, Reply);
  else if (Path && Path->Action == "entries" && Request.Method == "GET")
    this->read(Path->Stream, Request, Reply);
  else if (Path && Path->Action == "truncate" && Request.Method == "POST") {
    this->Log.truncate(Path->Stream,
                       Offset{integerParameter(Request, "below", 0)});
    sendJson(Reply, 200, {{"ok", true}});
  } else
    sendJson(Reply, 404, {{"error", "no such path"}});
}

void LogStandin::hang(HttpReply &Reply) {
  if (!this->Hangs)
    return;
  while (this->Hangs && !Reply.isClientDisconnected())
    this->Tasks.sleepUntil(this->Tasks.Now() + HangPollInterval);
  Reply.abort();
}

void LogStandin::append(const std::string &Stream, const HttpRequest &Request,
                        HttpReply &Reply) {
  if (Reply.isClientDisconnected())
    return;
  auto Appended =
      this->Hooks.Append(Stream, Request.Body, this->Tasks.Now() + CallTimeout);
  if (!Appended)
    sendLogError(Reply, Appended.error());
  else if (consumeOne(this->DropNextResponses))
    Reply.abort();
  else
    sendJson(Reply, 200, {{"offset", Appended.value().Value}});
}

void LogStandin::read(const std::string &Stream, const HttpRequest &Request,
                      HttpReply &Reply) {
  Offset From{integerParameter(Request, "from", 0)};
  std::uint64_t Count =
      std::min(MaxEntries, integerParameter(Request, "max", DefaultEntries));
  std::uint64_t WaitMs =
      std::min(MaxWaitMs, integerParameter(Request, "wait_ms", 0));
  auto Page =
      this->Hooks.Read(Stream, From, Count, std::chrono::milliseconds(WaitMs));
  if (!Page)
    sendLogError(Reply, Page.error());
  else
    Reply.sendResponse(200, "application/octet-stream",
                       encodeLogPage(Page.value()));
}

} // namespace bergamothook
