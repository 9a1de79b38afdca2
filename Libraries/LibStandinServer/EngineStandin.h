/// \file
/// The stand-in for a model engine.
///
///     POST   /engine/streams                 starts or resumes a stream
///     GET    /engine/streams/ID              asks about it
///     DELETE /engine/streams/ID              ends it
///     GET    /engine/load
///     GET    /engine/cache                   the whole prefix cache
///     GET    /engine/cache/events?after=     late, and with gaps
///     POST   /engine/orders                  loads, unloads, changes the role
///     POST   /engine/kv/export               {"request"} -> a cache
///     POST   /engine/kv/import               a cache
///     GET    /ledger                         every generation that ran

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_ENGINESTANDIN_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_ENGINESTANDIN_H

#include "LibStandin/RecordedEngine.h"
#include "LibStandinServer/Answers.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

class EngineStandin {
public:
  /// \p OnCrash is called in a task of its own when the engine crashes; when
  /// it returns, the engine starts again.
  EngineStandin(EngineModelSettings Settings, std::uint64_t Seed, Runtime Tasks,
                std::function<void()> OnCrash);
  EngineStandin(const EngineStandin &) = delete;
  EngineStandin &operator=(const EngineStandin &) = delete;

  /// Runs the engine's steps until stop(). Its owner calls it in a task.
  void run();
  void stop();

  void serve(const HttpRequest &Request, HttpReply Reply);

  RecordedEngine Engine;
  FaultTable Faults;

private:
  /// What may befall one stream's connection.
  struct StreamFate {
    std::uint64_t SilenceEpoch = 0;
    std::optional<std::uint32_t> SilentAfterTokens;
    std::optional<std::uint32_t> CutAfterTokens;
  };

  void addFaults();
  void serveEngine(const HttpRequest &Request, HttpReply &Reply);
  void openStream(const HttpRequest &Request, HttpReply &Reply);
  void sendPieces(const GenerationRequest &Order, HttpReply &Reply);
  bool isSilent(const StreamFate &Fate, std::uint32_t Sent) const;
  void staySilent(HttpReply &Reply);
  StreamFate drawFate();
  void serveStream(const HttpRequest &Request, const std::string &Hex,
                   HttpReply &Reply);
  void serveLoad(HttpReply &Reply);
  void serveOrder(const HttpRequest &Request, HttpReply &Reply);
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
  std::uint64_t SilenceEpoch = 0;
  std::uint32_t SilentNext = 0;
  std::uint32_t CutNext = 0;
  std::uint32_t FateAfterTokens = 8;
};

} // namespace bergamothook

#endif
