#include "LibMembership/PartialView.h"

#include "LibBase/Hash.h"

#include <algorithm>
#include <functional>
#include <map>

namespace bergamothook {

namespace {

/// A host with its place in some order.
struct Ranked {
  std::uint64_t Rank = 0;
  HostId Host;
  FailureDomainId Domain;
};

std::uint64_t mix(std::uint64_t Left, std::uint64_t Right, std::uint64_t Seed) {
  std::uint64_t Words[] = {Left, Right};
  return hash64({reinterpret_cast<const char *>(Words), sizeof(Words)}, Seed);
}

std::vector<Ranked> rankBy(const std::vector<HostRumor> &Present,
                           const std::function<std::uint64_t(HostId)> &Rank) {
  std::vector<Ranked> Order;
  for (const auto &Known : Present)
    Order.push_back({Rank(Known.Host), Known.Host, Known.Domain});
  std::sort(Order.begin(), Order.end(), [](const auto &One, const auto &Other) {
    return One.Rank < Other.Rank;
  });
  return Order;
}

void addOnce(std::vector<HostId> &View, HostId Host) {
  if (std::find(View.begin(), View.end(), Host) == View.end())
    View.push_back(Host);
}

} // namespace

std::vector<HostId> chooseView(HostId Self, FailureDomainId SelfDomain,
                               const std::vector<HostRumor> &Present,
                               std::uint64_t Round, PartialViewLimits Limits) {
  std::vector<HostId> View;
  // Distances around a ring on which every host has one place.
  std::uint64_t Here = mix(Self.Value, 0, 0);
  auto Ring = rankBy(Present,
                     [&](HostId Host) { return mix(Host.Value, 0, 0) - Here; });
  for (std::size_t Step = 0; Step < std::min(Limits.RingPeers, Ring.size());
       ++Step)
    addOnce(View, Ring[Step].Host);

  auto Stable = rankBy(
      Present, [&](HostId Host) { return mix(Self.Value, Host.Value, 1); });
  std::map<FailureDomainId, std::size_t> Taken;
  for (const auto &Candidate : Stable)
    if (Candidate.Domain != SelfDomain &&
        Taken[Candidate.Domain]++ < Limits.PeersPerOtherDomain)
      addOnce(View, Candidate.Host);

  auto Drawn = rankBy(Present, [&](HostId Host) {
    return mix(Self.Value, Host.Value, 2 + Round);
  });
  std::size_t MostPeers = View.size() + Limits.RandomPeers;
  for (const auto &Candidate : Drawn)
    if (View.size() < MostPeers)
      addOnce(View, Candidate.Host);
  return View;
}

} // namespace bergamothook
