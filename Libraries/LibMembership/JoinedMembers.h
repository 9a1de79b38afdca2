/// \file
/// Joins the platform's member list with the hosts' own failure detection.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_JOINEDMEMBERS_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_JOINEDMEMBERS_H

#include "LibMembership/HostTable.h"
#include "LibMembership/TargetNotices.h"
#include "LibPlatform/MembershipHooks.h"

namespace bergamothook {

/// Joins \p List with \p Hosts and \p Notices. A member is leaving if either
/// source says so. A host that is dead according to \p Hosts is left out, and a
/// live host that the list does not contain yet is added.
std::vector<Member> joinMembers(const MemberList &List, const HostTable &Hosts,
                                const TargetNotices &Notices, TimePoint Now);

} // namespace bergamothook

#endif
