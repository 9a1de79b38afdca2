/// \file
/// The platform's list joined with what the hosts found out themselves.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_JOINEDMEMBERS_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_JOINEDMEMBERS_H

#include "LibMembership/HostTable.h"
#include "LibMembership/TargetNotices.h"
#include "LibPlatform/MembershipHooks.h"

namespace bergamothook {

/// Joins \p List with \p Hosts and \p Notices. A member is leaving if either
/// side says so; a host that is found dead is left out, and a live host that
/// the list does not have yet is added.
std::vector<Member> joinMembers(const MemberList &List, const HostTable &Hosts,
                                const TargetNotices &Notices, TimePoint Now);

} // namespace bergamothook

#endif
