/// \file
/// What is in force for one team, after templates and parameters are resolved.

#ifndef BERGAMOTHOOK_LIBCONFIG_EFFECTIVETEAM_H
#define BERGAMOTHOOK_LIBCONFIG_EFFECTIVETEAM_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibBase/WorkClass.h"
#include "LibConfig/Sha256.h"

#include <array>
#include <string>
#include <vector>

namespace bergamothook {

/// What is in force for one class of work of a team.
struct ClassSettings {
  /// The time from the request's arrival to the end of its answer.
  Duration Deadline{};
  /// Whether a request whose outcome is unknown may be run again.
  bool IsRepeatable = false;
  /// Whether a second target may be tried while the first one is slow.
  bool MayHedge = false;
  /// How long the first target may be silent before the second one is tried.
  Duration HedgeAfter{};
  std::uint32_t MaxTokens = 0;
  /// Added to the team's priority.
  std::int32_t PriorityOffset = 0;
};

/// How a team's prepaid tokens are kept.
struct BudgetSettings {
  /// The account that top-ups name; the team's own name unless set.
  std::string Account;
  /// The tokens that a host asks for at a time.
  std::uint64_t SliceTokens = 0;
  /// The share, in percent, of a slice that may be held back for worst cases.
  std::uint32_t MaxReservePercent = 0;
};

/// How a team's non-idempotent orders are handled.
struct OrderSettings {
  /// How long a key is remembered. A retry after that is refused.
  Duration RememberKeys{};
  /// Whether a caller must fetch a ticket before it sends an order.
  bool NeedsTicket = false;
};

/// All that is in force for one team. Immutable once it is in a snapshot.
struct EffectiveTeam {
  TeamId Team;
  std::string Name;
  /// The template that the team is made from; empty for none.
  std::string Template;
  /// Larger numbers go first.
  std::int32_t Priority = 0;
  /// The share among teams of one priority.
  std::uint32_t Weight = 0;
  /// The most requests of the team that one host runs at a time.
  std::uint32_t MaxConcurrentRequests = 0;
  std::uint32_t MaxTokensPerRequest = 0;
  /// The models that the team may use, sorted.
  std::vector<ModelId> Models;
  std::vector<std::string> ModelNames;
  /// The services that the team may call, sorted by name.
  std::vector<std::string> Services;
  std::array<ClassSettings, WorkClassCount> Classes;
  BudgetSettings Budget;
  OrderSettings Orders;
  /// The hashes of the tokens that the team's callers show.
  std::vector<Sha256> BearerKeys;

  const ClassSettings &classSettings(WorkClass Class) const {
    return this->Classes[static_cast<std::size_t>(Class)];
  }

  bool allowsModel(ModelId Model) const;
  bool allowsService(const std::string &Service) const;
};

} // namespace bergamothook

#endif
