#include "LibStandin/MemberBoard.h"

namespace bergamothook {

MemberBoard::MemberBoard(std::vector<Member> First)
    : Shown{1, std::move(First)} {}

std::uint64_t MemberBoard::replace(std::vector<Member> Members, TimePoint Now) {
  MemberList List{++this->LastVersion, std::move(Members)};
  this->Changes.push_back({Now + this->Lag, std::move(List)});
  return this->LastVersion;
}

MemberList MemberBoard::visible(TimePoint Now) {
  while (!this->Changes.empty() && this->Changes.front().VisibleAt <= Now) {
    this->Shown = std::move(this->Changes.front().List);
    this->Changes.pop_front();
  }
  return this->Shown;
}

} // namespace bergamothook
