/// \file
/// The requests of the routing experiment: sessions of several teams whose
/// prompts grow from turn to turn, and long drafts between them.

#ifndef BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGWORKLOAD_H
#define BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGWORKLOAD_H

#include "LibBase/Ids.h"
#include "LibBase/Random.h"
#include "LibBase/WorkClass.h"
#include "LibTarget/PrefixBlocks.h"

#include <vector>

namespace bergamothook {

/// One request of the workload.
struct WorkloadRequest {
  RequestId Request;
  TeamId Team;
  WorkClass Class = WorkClass::QuickAnswer;
  std::uint32_t PromptTokens = 0;
  std::uint32_t AnswerTokens = 0;
  std::vector<PrefixHash> Blocks;
};

/// Draws requests. The same seed gives the same requests.
class RoutingWorkload {
public:
  explicit RoutingWorkload(std::uint64_t Seed);

  WorkloadRequest draw();

private:
  struct Session {
    std::uint64_t Name = 0;
    std::uint32_t Blocks = 0;
    std::uint32_t Turns = 0;
  };

  std::uint64_t drawTeam();

  Random Draws;
  std::vector<Session> Sessions;
  std::uint64_t Count = 0;
};

} // namespace bergamothook

#endif
