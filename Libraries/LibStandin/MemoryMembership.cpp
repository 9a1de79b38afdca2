#include "LibStandin/MemoryMembership.h"

namespace bergamothook {

MemoryMembership::MemoryMembership(std::vector<Member> Initial)
    : VisibleList{1, std::move(Initial)} {}

std::uint64_t MemoryMembership::replace(std::vector<Member> Members,
                                        TimePoint Now) {
  MemberList List{++this->LastVersion, std::move(Members)};
  this->PendingChanges.push_back({Now + this->Lag, std::move(List)});
  return this->LastVersion;
}

MemberList MemoryMembership::visible(TimePoint Now) {
  while (!this->PendingChanges.empty() &&
         this->PendingChanges.front().VisibleAt <= Now) {
    this->VisibleList = std::move(this->PendingChanges.front().List);
    this->PendingChanges.pop_front();
  }
  return this->VisibleList;
}

} // namespace bergamothook
