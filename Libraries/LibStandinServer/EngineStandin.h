/// \file
/// The stand-in for a model engine.
///
///     POST   /engine/streams                 starts or resumes a stream
///     GET    /engine/streams/ID              asks about it
///     DELETE /engine/streams/ID              ends it
///     GET    /engine/load
///     GET    /engine/cache                   the whole prefix cache
///     GET    /engine/cache/events?after=&max=
///     POST   /engine/cache/export            {"model", "prompt"} -> {"blocks"}
///     POST   /engine/cache/import            {"blocks"}
///     POST   /engine/models     {"model", "is_loaded", "fencing_number"}
///     GET    /ledger                         every generation that ran

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_ENGINESTANDIN_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_ENGINESTANDIN_H

#include "LibStandin/BatchEngine.h"
#include "LibStandinServer/Answers.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

class EngineStandin {
public:
  /// \p OnCrash is called in a task of its own when the engine crashes.
  EngineStandin(BatchEngineLimits Limits, std::uint64_t Seed, Runtime Tasks,
                std::function<void()> OnCrash);
  EngineStandin(const EngineStandin &) = delete;
  EngineStandin &operator=(const EngineStandin &) = delete;

  /// Runs the engine's steps until stop(). Its owner calls it in a task.
  void run();
  void stop();

  void serve(const HttpRequest &Request, HttpReply Reply);

  BatchEngine Engine;
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
  void sendPieces(const GenerationOrder &Order, HttpReply &Reply);
  bool isSilent(const StreamFate &Fate, std::uint32_t Sent) const;
  void staySilent(HttpReply &Reply);
  StreamFate drawFate();
  void serveStream(const HttpRequest &Request, const std::string &Hex,
                   HttpReply &Reply);
  void serveCache(const HttpRequest &Request, HttpReply &Reply);
  void importBlocks(const nlohmann::json &Body, HttpReply &Reply);
  void orderModel(const HttpRequest &Request, HttpReply &Reply);
  nlohmann::json eventsJson(const HttpRequest &Request) const;
  nlohmann::json ledgerJson() const;

  Runtime Tasks;
  std::function<void()> OnCrash;
  Event Progress;
  Event WakeUp;
  bool IsStopping = false;
  std::uint64_t SilenceEpoch = 0;
  std::uint32_t SilentNext = 0;
  std::uint32_t CutNext = 0;
  std::uint32_t FateAfterTokens = 8;
};

} // namespace bergamothook

#endif
