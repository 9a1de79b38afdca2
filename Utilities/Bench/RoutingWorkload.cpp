#include "RoutingWorkload.h"

namespace bergamothook {

namespace {

constexpr std::uint64_t Teams = 10;
constexpr std::uint64_t SessionsPerTeam = 20;
constexpr std::uint32_t TemplateBlocks = 4;
constexpr std::uint32_t MaxTurns = 8;
constexpr double DraftShare = 0.1;
constexpr double MeanQuickAnswerTokens = 80;
constexpr double MeanDraftTokens = 600;
constexpr std::uint32_t MinAnswerTokens = 10;
constexpr std::uint32_t MaxAnswerTokens = 2000;

/// The share of requests of each team falls by this factor from team to team.
constexpr double TeamDecay = 0.7;

PrefixHash blockName(std::uint64_t Owner, std::uint64_t Number) {
  PrefixHash Mixed = (Owner * 0x9e3779b97f4a7c15ULL) ^ (Number + 1);
  Mixed = (Mixed ^ (Mixed >> 32)) * 0xd6e8feb86659fd93ULL;
  return Mixed ^ (Mixed >> 29);
}

} // namespace

RoutingWorkload::RoutingWorkload(std::uint64_t Seed)
    : Draws(Seed), Sessions(Teams * SessionsPerTeam) {}

std::uint64_t RoutingWorkload::drawTeam() {
  std::uint64_t Team = 0;
  while (Team + 1 < Teams && this->Draws.chance(TeamDecay))
    ++Team;
  return Team;
}

WorkloadRequest RoutingWorkload::draw() {
  std::uint64_t Team = this->drawTeam();
  std::uint64_t Place =
      Team * SessionsPerTeam + this->Draws.below(SessionsPerTeam);
  Session &Turn = this->Sessions[Place];
  if (Turn.Name == 0 || Turn.Turns == MaxTurns) {
    Turn = Session();
    Turn.Name = this->Draws.next() | 1;
  }
  ++Turn.Turns;
  Turn.Blocks += 1 + static_cast<std::uint32_t>(this->Draws.below(2));

  WorkloadRequest Drawn;
  Drawn.Request = {1, ++this->Count};
  Drawn.Team = TeamId{Team + 1};
  for (std::uint32_t I = 0; I < TemplateBlocks; ++I)
    Drawn.Blocks.push_back(blockName(Team + 1, I));
  for (std::uint32_t I = 0; I < Turn.Blocks; ++I)
    Drawn.Blocks.push_back(blockName(Turn.Name, I));
  Drawn.PromptTokens =
      static_cast<std::uint32_t>(Drawn.Blocks.size()) * PrefixBlockTokens + 1 +
      static_cast<std::uint32_t>(this->Draws.below(PrefixBlockTokens - 1));
  bool IsDraft = this->Draws.chance(DraftShare);
  Drawn.Class = IsDraft ? WorkClass::LongDraft : WorkClass::QuickAnswer;
  double Mean = IsDraft ? MeanDraftTokens : MeanQuickAnswerTokens;
  auto Answer = static_cast<std::uint32_t>(this->Draws.exponential(Mean));
  Drawn.AnswerTokens = std::min(MinAnswerTokens + Answer, MaxAnswerTokens);
  return Drawn;
}

} // namespace bergamothook
