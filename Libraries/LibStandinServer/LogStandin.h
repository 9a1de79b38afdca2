/// \file
/// Simulates the platform's log over HTTP.
///
///     POST /log/STREAM/entries                      -> {"offset": N}
///     GET  /log/STREAM/entries?from=&max=&wait_ms=  -> a page (LogWire.h)
///     POST /log/STREAM/truncate?below=N
///     GET  /ledger                                  -> {"appends": N}
///
/// Status 410 means below the retained range, 413 too large, 429 above the
/// append rate, 503 unavailable. A lost response closes the connection.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_LOGSTANDIN_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_LOGSTANDIN_H

#include "LibStandin/MemoryLogHooks.h"
#include "LibStandinServer/StandinResponses.h"

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
  /// The number of further appends whose response is dropped after they took
  /// effect.
  std::uint32_t DropNextResponses = 0;
  /// Makes calls hang without a response or an effect.
  bool Hangs = false;
};

} // namespace bergamothook

#endif
