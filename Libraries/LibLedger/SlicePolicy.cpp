#include "LibLedger/SlicePolicy.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// Share of a slice that may be unwitnessed, at both ends of Eagerness.
constexpr double CautiousCapShare = 0.005;
constexpr double EagerCapShare = 0.05;

/// Target of a slice as a multiple of OutageCover, at both ends of Eagerness.
constexpr double CautiousCover = 1.25;
constexpr double EagerCover = 2.0;

/// Share of the unallocated tokens that all holders together aim for without
/// any known rate, at both ends of Eagerness.
constexpr double CautiousIdleShare = 0.1;
constexpr double EagerIdleShare = 0.5;

double interpolate(double Low, double High, double Share) {
  return Low + (High - Low) * std::clamp(Share, 0.0, 1.0);
}

} // namespace

TokenCount SlicePolicy::target(double Rate, TokenCount Reserved,
                               TokenCount Unallocated) const {
  std::chrono::duration<double> Cover = this->OutageCover;
  double CoverFactor = interpolate(CautiousCover, EagerCover, this->Eagerness);
  double RateTarget =
      Rate * Cover.count() * CoverFactor + static_cast<double>(Reserved);
  double Share =
      interpolate(CautiousIdleShare, EagerIdleShare, this->Eagerness);
  double Idle = static_cast<double>(Unallocated) * Share / this->FleetHosts;
  double MinTarget =
      std::min(static_cast<double>(this->SmallestTarget), Idle * 2);
  return static_cast<TokenCount>(std::max(RateTarget + MinTarget, Idle));
}

TokenCount SlicePolicy::maxRefill(TokenCount Unallocated) const {
  return Unallocated / (2 * static_cast<TokenCount>(this->FleetHosts));
}

TokenCount SlicePolicy::unwitnessedCap(TokenCount Held,
                                       TokenCount LargestReservation) const {
  double Share = interpolate(CautiousCapShare, EagerCapShare, this->Eagerness);
  auto ShareCap = static_cast<TokenCount>(static_cast<double>(Held) * Share);
  return std::max(ShareCap, LargestReservation * this->CapReservations);
}

} // namespace bergamothook
