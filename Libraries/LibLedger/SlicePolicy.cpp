#include "LibLedger/SlicePolicy.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// The share of the slice that may be unwitnessed, at both ends of the scale.
constexpr double CautiousCapShare = 0.005;
constexpr double EagerCapShare = 0.05;

/// How many times the cover for an outage a slice aims at, at both ends.
constexpr double CautiousCover = 1.25;
constexpr double EagerCover = 2.0;

/// The share of the unallocated tokens that all holders together aim at
/// without any rate known, at both ends.
constexpr double CautiousIdleShare = 0.1;
constexpr double EagerIdleShare = 0.5;

double between(double Low, double High, double Share) {
  return Low + (High - Low) * std::clamp(Share, 0.0, 1.0);
}

} // namespace

TokenCount SlicePolicy::target(double Rate, TokenCount Reserved,
                               TokenCount Unallocated) const {
  std::chrono::duration<double> Cover = this->OutageCover;
  double Times = between(CautiousCover, EagerCover, this->Eagerness);
  double ByRate = Rate * Cover.count() * Times + static_cast<double>(Reserved);
  double Share = between(CautiousIdleShare, EagerIdleShare, this->Eagerness);
  double Idle = static_cast<double>(Unallocated) * Share / this->FleetHosts;
  double Least = std::min(static_cast<double>(this->SmallestTarget), Idle * 2);
  return static_cast<TokenCount>(std::max(ByRate + Least, Idle));
}

TokenCount SlicePolicy::largestTopping(TokenCount Unallocated) const {
  return Unallocated / (2 * static_cast<TokenCount>(this->FleetHosts));
}

TokenCount SlicePolicy::unwitnessedCap(TokenCount Held,
                                       TokenCount Largest) const {
  double Share = between(CautiousCapShare, EagerCapShare, this->Eagerness);
  auto ByShare = static_cast<TokenCount>(static_cast<double>(Held) * Share);
  return std::max(ByShare, Largest * this->CapReservations);
}

} // namespace bergamothook
