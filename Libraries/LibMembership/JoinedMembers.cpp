#include "LibMembership/JoinedMembers.h"

#include "LibBase/Hash.h"

#include <set>

namespace bergamothook {

namespace {

/// Updates one entry of the list. \returns whether to keep it.
bool updateEntry(Member &Entry, const HostTable &Hosts,
                 const TargetNotices &Notices, TimePoint Now) {
  if (Entry.Role != MemberRole::EntryHost) {
    if (Notices.isLeaving(idOfName<TargetId>(Entry.Name), Now))
      Entry.State = MemberState::Leaving;
    return true;
  }
  HostId Host = idOfName<HostId>(Entry.Name);
  if (Host == Hosts.self().Host)
    return true;
  auto Rumor = Hosts.find(Host);
  if (!Rumor)
    return true;
  if (Rumor->State == HostState::Leaving)
    Entry.State = MemberState::Leaving;
  if (!Rumor->Address.empty()) {
    Entry.Address = Rumor->Address;
    Entry.Port = Rumor->Port;
  }
  return Rumor->State != HostState::Dead;
}

} // namespace

std::vector<Member> joinMembers(const MemberList &List, const HostTable &Hosts,
                                const TargetNotices &Notices, TimePoint Now) {
  std::vector<Member> Joined;
  std::set<HostId> ListedHosts;
  for (Member Entry : List.Members) {
    if (Entry.Role == MemberRole::EntryHost)
      ListedHosts.insert(idOfName<HostId>(Entry.Name));
    if (updateEntry(Entry, Hosts, Notices, Now))
      Joined.push_back(std::move(Entry));
  }
  for (const auto &Rumor : Hosts.present()) {
    if (ListedHosts.contains(Rumor.Host) || Rumor.Address.empty())
      continue;
    // Only the list has the name, so the hexadecimal identifier is used
    // instead.
    Joined.push_back({toHex(Rumor.Host.Value),
                      MemberRole::EntryHost,
                      Rumor.State == HostState::Leaving ? MemberState::Leaving
                                                        : MemberState::Live,
                      "",
                      Rumor.Address,
                      Rumor.Port,
                      {},
                      false});
  }
  return Joined;
}

} // namespace bergamothook
