#include "LibMembership/JoinedMembers.h"

#include "LibBase/Hash.h"

#include <set>

namespace bergamothook {

namespace {

/// Corrects one line of the list. \returns whether it stays.
bool correct(Member &Line, const HostTable &Hosts, const TargetNotices &Notices,
             TimePoint Now) {
  if (Line.Role != MemberRole::EntryHost) {
    if (Notices.isLeaving(idOfName<TargetId>(Line.Name), Now))
      Line.State = MemberState::Leaving;
    return true;
  }
  HostId Host = idOfName<HostId>(Line.Name);
  if (Host == Hosts.self().Host)
    return true;
  auto Known = Hosts.find(Host);
  if (!Known)
    return true;
  if (Known->State == HostState::Leaving)
    Line.State = MemberState::Leaving;
  if (!Known->Address.empty()) {
    Line.Address = Known->Address;
    Line.Port = Known->Port;
  }
  return Known->State != HostState::Dead;
}

} // namespace

std::vector<Member> joinMembers(const MemberList &List, const HostTable &Hosts,
                                const TargetNotices &Notices, TimePoint Now) {
  std::vector<Member> Joined;
  std::set<HostId> Listed;
  for (Member Line : List.Members) {
    if (Line.Role == MemberRole::EntryHost)
      Listed.insert(idOfName<HostId>(Line.Name));
    if (correct(Line, Hosts, Notices, Now))
      Joined.push_back(std::move(Line));
  }
  for (const auto &Known : Hosts.present()) {
    if (Listed.contains(Known.Host) || Known.Address.empty())
      continue;
    // Only the list knows the name; the identifier stands in for it.
    Joined.push_back({toHex(Known.Host.Value),
                      MemberRole::EntryHost,
                      Known.State == HostState::Leaving ? MemberState::Leaving
                                                        : MemberState::Live,
                      "",
                      Known.Address,
                      Known.Port,
                      {},
                      false});
  }
  return Joined;
}

} // namespace bergamothook
