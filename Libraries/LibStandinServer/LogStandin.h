/// \file
/// The stand-in for the platform's log.
///
///     POST /log/STREAM/entries                      -> {"offset": N}
///     GET  /log/STREAM/entries?from=&max=&wait_ms=  -> a page (LogWire.h)
///     POST /log/STREAM/truncate?below=N
///     GET  /ledger                                  -> {"appends": N}
///
/// Status 410 is below the retained range, 413 too large, 429 above the append
/// rate, 503 an outage. A lost answer is a closed connection.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_LOGSTANDIN_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_LOGSTANDIN_H

#include "LibStandin/MemoryLogHooks.h"
#include "LibStandinServer/Answers.h"

namespace bergamothook {

class LogStandin {
public:
  LogStandin(LogLimits Limits, std::uint64_t Seed, Runtime Tasks);
  LogStandin(const LogStandin &) = delete;
  LogStandin &operator=(const LogStandin &) = delete;

  void serve(const HttpRequest &Request, HttpReply Reply);

  MemoryLog Log;
  FaultTable Faults;

private:
  void append(const std::string &Stream, const HttpRequest &Request,
              HttpReply &Reply);
  void read(const std::string &Stream, const HttpRequest &Request,
            HttpReply &Reply);
  void hang(HttpReply &Reply);

  Runtime Tasks;
  LogHooks Hooks;
  /// The answers still to be lost after the effect of their appends.
  std::uint32_t LostAnswers = 0;
  /// Calls get no answer and have no effect while it is set.
  bool Hangs = false;
};

} // namespace bergamothook

#endif
