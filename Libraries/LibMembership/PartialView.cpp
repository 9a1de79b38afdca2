#include "LibMembership/PartialView.h"

#include "LibBase/Hash.h"

#include <algorithm>
#include <functional>
#include <map>

namespace bergamothook {

namespace {

/// A host with its rank in an ordering.
struct Ranked {
  std::uint64_t Rank = 0;
  HostId Host;
  FailureDomainId Domain;
};

std::uint64_t hashPair(std::uint64_t Left, std::uint64_t Right,
                       std::uint64_t Seed) {
  std::uint64_t Pair[] = {Left, Right};
  return hash64({reinterpret_cast<const char *>(Pair), sizeof(Pair)}, Seed);
}

std::vector<Ranked> rankBy(const std::vector<HostRumor> &Present,
                           const std::function<std::uint64_t(HostId)> &Rank) {
  std::vector<Ranked> Order;
  for (const auto &Rumor : Present)
    Order.push_back({Rank(Rumor.Host), Rumor.Host, Rumor.Domain});
  std::sort(Order.begin(), Order.end(),
            [](const auto &First, const auto &Second) {
              return First.Rank < Second.Rank;
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
  // Ranks the hosts by their distance from this host on a hash ring.
  std::uint64_t SelfPosition = hashPair(Self.Value, 0, 0);
  auto Ring = rankBy(Present, [&](HostId Host) {
    return hashPair(Host.Value, 0, 0) - SelfPosition;
  });
  for (std::size_t Index = 0; Index < std::min(Limits.RingPeers, Ring.size());
       ++Index)
    addOnce(View, Ring[Index].Host);

  auto StableOrder = rankBy(Present, [&](HostId Host) {
    return hashPair(Self.Value, Host.Value, 1);
  });
  std::map<FailureDomainId, std::size_t> PeersPerDomain;
  for (const auto &Candidate : StableOrder)
    if (Candidate.Domain != SelfDomain &&
        PeersPerDomain[Candidate.Domain]++ < Limits.PeersPerOtherDomain)
      addOnce(View, Candidate.Host);

  auto RandomOrder = rankBy(Present, [&](HostId Host) {
    return hashPair(Self.Value, Host.Value, 2 + Round);
  });
  std::size_t MaxPeers = View.size() + Limits.RandomPeers;
  for (const auto &Candidate : RandomOrder)
    if (View.size() < MaxPeers)
      addOnce(View, Candidate.Host);
  return View;
}

} // namespace bergamothook
