/// \file
/// The effective settings of one team, after resolving templates and
/// parameters.

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

/// The effective settings of a team for one work class.
struct ClassSettings {
  /// The time from the arrival of a request to the end of its response.
  Duration Deadline{};
  /// Whether a request whose outcome is unknown may be repeated.
  bool IsRepeatable = false;
  /// Whether a hedged request may be sent to a second target while the first
  /// one is slow.
  bool MayHedge = false;
  /// How long the first target may send nothing before the request is hedged.
  Duration HedgeAfter{};
  std::uint32_t MaxTokens = 0;
  /// Added to the team's priority.
  std::int32_t PriorityOffset = 0;
};

/// How a team's prepaid tokens are accounted.
struct BudgetSettings {
  /// The account that is topped up; defaults to the name of the team.
  std::string Account;
  /// The tokens that a host requests at a time.
  std::uint64_t SliceTokens = 0;
  /// The maximum percentage of a slice that may be reserved for the worst-case
  /// cost of requests.
  std::uint32_t MaxReservePercent = 0;
};

/// How a team's non-idempotent orders are handled.
struct OrderSettings {
  /// How long an idempotency key is retained. A later retry is rejected.
  Duration KeyRetention{};
  /// Whether a caller must obtain a ticket before it sends an order.
  bool NeedsTicket = false;
};

/// The effective settings of one team. Immutable once part of a snapshot.
struct EffectiveTeam {
  TeamId Team;
  std::string Name;
  /// The template of the team; empty for none.
  std::string Template;
  /// Greater values have precedence.
  std::int32_t Priority = 0;
  /// The relative share among teams of the same priority.
  std::uint32_t Weight = 0;
  /// Applies to each host separately.
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
  /// The hashes of the bearer tokens of the team's callers.
  std::vector<Sha256> BearerKeys;

  const ClassSettings &classSettings(WorkClass Class) const {
    return this->Classes[static_cast<std::size_t>(Class)];
  }

  bool allowsModel(ModelId Model) const;
  bool allowsService(const std::string &Service) const;
};

} // namespace bergamothook

#endif
