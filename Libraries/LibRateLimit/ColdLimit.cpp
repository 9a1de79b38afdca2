#include "LibRateLimit/ColdLimit.h"

#include <algorithm>
#include <charconv>

namespace bergamothook {

namespace {

constexpr std::string_view ColdSuffix = "#cold";
/// A smaller number of shares is chosen only if more would leave less than this
/// fraction of the rate: the loss of one holder costs its whole share.
constexpr double AcceptedFraction = 0.8;

/// The requests in one second that do not depend on the rate: every bucket may
/// hold the fraction of a permit from before.
double fixedPart(std::size_t Shares) { return static_cast<double>(Shares) + 1; }

/// The requests in one second for each unit of the rate: what was earned in
/// that second, shortly before it, or taken before it and sent within it; and
/// the share of a holder that does not know yet that another host took its
/// place.
double ratePart(std::size_t Shares) {
  return (1 + 1 / (static_cast<double>(Shares) + 1)) *
         (1 + secondsOf(ColdPermitLifetime) + secondsOf(MaxColdPermitAge));
}

} // namespace

double mostInOneSecond(const ColdLimit &Limit) {
  if (Limit.PerSecond <= 0)
    return 0;
  return fixedPart(Limit.Shares) + Limit.PerSecond * ratePart(Limit.Shares);
}

ColdLimit coldLimit(double ColdPerSecond, ColdBounds Bounds,
                    std::size_t MaxShares) {
  double Allowed = ColdPerSecond * Bounds.Overshoot + Bounds.Slack;
  ColdLimit Best;
  for (std::size_t Shares = MaxShares; Shares > 0; --Shares) {
    double Rate = std::clamp((Allowed - fixedPart(Shares)) / ratePart(Shares),
                             0.0, std::max(0.0, ColdPerSecond));
    if (Rate > Best.PerSecond)
      Best = {Rate, Shares};
    if (Best.PerSecond >= AcceptedFraction * ColdPerSecond)
      break;
  }
  return Best;
}

std::string coldKey(const std::string &RunKey, std::size_t Shares) {
  return RunKey + std::string(ColdSuffix) + std::to_string(Shares);
}

std::optional<ColdKeyParts> parseColdKey(const std::string &Key) {
  std::size_t Split = Key.rfind(ColdSuffix);
  if (Split == std::string::npos)
    return std::nullopt;
  ColdKeyParts Parts;
  Parts.RunKey = Key.substr(0, Split);
  const char *Begin = Key.data() + Split + ColdSuffix.size();
  const char *End = Key.data() + Key.size();
  auto Parsed = std::from_chars(Begin, End, Parts.Shares);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Parts.Shares == 0)
    return std::nullopt;
  return Parts;
}

} // namespace bergamothook
