/// \file
/// Simulates an inference engine over HTTP.
///
///     POST   /engine/streams                 starts or resumes a stream
///     GET    /engine/streams/ID              probes it
///     DELETE /engine/streams/ID              cancels it
///     GET    /engine/load
///     GET    /engine/cache                   the whole prefix cache
///     GET    /engine/cache/events?after=     delayed, with gaps
///     POST   /engine/orders                  loads, unloads, sets the role
///     POST   /engine/kv/export               {"request"} -> a cache
///     POST   /engine/kv/import               a cache
///     GET    /ledger                         all generations

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_ENGINESTANDIN_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_ENGINESTANDIN_H

#include "LibStandin/RecordedEngine.h"
#include "LibStandinServer/StandinResponses.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

class EngineStandin {
public:
  /// \p OnCrash is called in a separate task when the engine crashes; the
  /// engine restarts when it returns.
  EngineStandin(EngineModelSettings Settings, std::uint64_t Seed, Runtime Tasks,
                std::function<void()> OnCrash);
  EngineStandin(const EngineStandin &) = delete;
  EngineStandin &operator=(const EngineStandin &) = delete;

  /// Runs the engine's steps until stop(). Call it from a task.
  void run();
  void stop();

  void serve(const HttpRequest &Request, HttpReply Reply);

  RecordedEngine Engine;
  FaultTable Faults;

private:
  /// The faults injected into the connection of one stream.
  struct StreamFaults {
    std::uint64_t StallEpoch = 0;
    std::optional<std::uint32_t> StallAfterTokens;
    std::optional<std::uint32_t> AbortAfterTokens;
  };

  void addFaults();
  void serveEngine(const HttpRequest &Request, HttpReply &Reply);
  void openStream(const HttpRequest &Request, HttpReply &Reply);
  void sendChunks(const GenerationRequest &Generation, HttpReply &Reply);
  bool isStalled(const StreamFaults &Injected, std::uint32_t Sent) const;
  void stall(HttpReply &Reply);
  StreamFaults takeStreamFaults();
  void serveStream(const HttpRequest &Request, const std::string &Hex,
                   HttpReply &Reply);
  void serveLoad(HttpReply &Reply);
  void serveCommand(const HttpRequest &Request, HttpReply &Reply);
  void exportKv(const HttpRequest &Request, HttpReply &Reply);
  void importKv(const HttpRequest &Request, HttpReply &Reply);
  void applyFaults();
  void restart();
  nlohmann::json ledgerJson() const;

  Runtime Tasks;
  std::function<void()> OnCrash;
  Event Progress;
  Event WakeUp;
  bool IsStopping = false;
  bool IsRestarting = false;
  bool IsLeaving = false;
  double SlowFactor = 1;
  std::uint64_t StallEpoch = 0;
  std::uint32_t StallNext = 0;
  std::uint32_t AbortNext = 0;
  std::uint32_t FaultAfterTokens = 8;
};

} // namespace bergamothook

#endif
