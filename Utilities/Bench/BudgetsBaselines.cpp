#include "BudgetsDesign.h"

#include <algorithm>
#include <map>

namespace bergamothook::budgets {

namespace {

struct Held {
  std::size_t Host = 0;
  TeamId Team;
  TokenCount Tokens = 0;
};

/// Each host's share of each budget, with nothing ever moved.
struct Split {
  explicit Split(World &In) : In(In) {}

  World &In;
  std::map<std::pair<std::size_t, TeamId>, TokenCount> Shares;
  std::map<std::uint64_t, Held> Open;
  std::map<TeamId, TokenCount> Billed;
  std::vector<std::pair<TeamId, TokenCount>> Waiting;
  TokenCount Stranded = 0;
  std::uint64_t NextHandle = 1;

  void tick() {
    if (this->In.Log.Faults.IsDown)
      return;
    for (auto [Team, Tokens] : this->Waiting)
      for (std::size_t Host = 0; Host < this->In.hostCount(); ++Host)
        this->Shares[{Host, Team}] +=
            Tokens / static_cast<TokenCount>(this->In.hostCount());
    this->Waiting.clear();
  }

  void kill(std::size_t Host) {
    std::erase_if(this->Open, [&](const auto &Entry) {
      this->Stranded += Entry.second.Host == Host ? Entry.second.Tokens : 0;
      return Entry.second.Host == Host;
    });
  }
};

/// Every reservation and settlement waits for an append of its own.
struct Appending {
  explicit Appending(World &In) : In(In) {}

  World &In;
  std::map<TeamId, TokenCount> Free;
  std::map<std::uint64_t, Held> Open;
  std::map<TeamId, TokenCount> Billed;
  std::vector<std::pair<std::uint64_t, TokenCount>> Settling;
  std::vector<std::pair<TeamId, TokenCount>> Waiting;
  TokenCount Stranded = 0;
  std::uint64_t NextHandle = 1;

  /// Appends, and tells whether the effect is known.
  bool append(std::size_t Host) {
    if (this->In.IsCut[Host])
      return false;
    return this->In.Log.append("reservations", "r", this->In.Now).has_value();
  }

  Reservation reserve(std::size_t Host, TeamId Team, TokenCount Tokens) {
    if (!this->append(Host))
      return {Answer::Wait, 0};
    if (this->Free[Team] < Tokens)
      return {Answer::Refused, 0};
    this->Free[Team] -= Tokens;
    this->Open[this->NextHandle] = {Host, Team, Tokens};
    return {Answer::Reserved, this->NextHandle++};
  }

  void tick() {
    if (!this->In.Log.Faults.IsDown) {
      for (auto [Team, Tokens] : this->Waiting)
        this->Free[Team] += Tokens;
      this->Waiting.clear();
    }
    std::erase_if(this->Settling, [&](const auto &Ending) {
      auto Known = this->Open.find(Ending.first);
      if (Known == this->Open.end())
        return true;
      const Held &Of = Known->second;
      if (!this->In.canWork(Of.Host) || !this->append(Of.Host))
        return false;
      this->Free[Of.Team] += Of.Tokens - Ending.second;
      this->Billed[Of.Team] += Ending.second;
      this->Open.erase(Known);
      return true;
    });
  }

  void kill(std::size_t Host) {
    std::erase_if(this->Open, [&](const auto &Entry) {
      this->Stranded += Entry.second.Host == Host ? Entry.second.Tokens : 0;
      return Entry.second.Host == Host;
    });
  }
};

/// The hooks that both baselines have alike.
template <typename State>
Design makeCommon(const std::shared_ptr<State> &Kept) {
  Design Made;
  Made.TopUp = [Kept](TeamId Team, TokenCount Tokens) {
    Kept->Waiting.emplace_back(Team, Tokens);
  };
  Made.Kill = [Kept](std::size_t Host) { Kept->kill(Host); };
  Made.Revive = [](std::size_t) {};
  Made.Tick = [Kept] { Kept->tick(); };
  Made.Stranded = [Kept] { return Kept->Stranded; };
  Made.Billed = [Kept](TeamId Team) { return Kept->Billed[Team]; };
  Made.Violations = [] { return std::uint64_t{0}; };
  return Made;
}

} // namespace

Design makeSplitDesign(World &In) {
  auto Kept = std::make_shared<Split>(In);
  Design Made = makeCommon(Kept);
  Made.Reserve = [Kept](std::size_t Host, TeamId Team, RequestId, std::uint32_t,
                        TokenCount Tokens) {
    TokenCount &Share = Kept->Shares[{Host, Team}];
    if (Share < Tokens)
      return Reservation{Answer::Refused, 0};
    Share -= Tokens;
    Kept->Open[Kept->NextHandle] = {Host, Team, Tokens};
    return Reservation{Answer::Reserved, Kept->NextHandle++};
  };
  Made.Settle = [Kept](std::size_t Host, std::uint64_t Handle,
                       TokenCount Tokens) {
    auto Known = Kept->Open.find(Handle);
    if (Known == Kept->Open.end())
      return;
    const Held &Of = Known->second;
    Kept->Shares[{Host, Of.Team}] += Of.Tokens - Tokens;
    Kept->Billed[Of.Team] += Tokens;
    Kept->Open.erase(Known);
  };
  return Made;
}

Design makeAppendDesign(World &In) {
  auto Kept = std::make_shared<Appending>(In);
  Design Made = makeCommon(Kept);
  Made.Reserve = [Kept](std::size_t Host, TeamId Team, RequestId, std::uint32_t,
                        TokenCount Tokens) {
    return Kept->reserve(Host, Team, Tokens);
  };
  Made.Settle = [Kept](std::size_t, std::uint64_t Handle, TokenCount Tokens) {
    Kept->Settling.emplace_back(Handle, Tokens);
  };
  return Made;
}

} // namespace bergamothook::budgets
