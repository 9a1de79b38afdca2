/// \file
/// Interface to the platform's list of hosts and targets.

#ifndef BERGAMOTHOOK_LIBPLATFORM_MEMBERSHIPHOOKS_H
#define BERGAMOTHOOK_LIBPLATFORM_MEMBERSHIPHOOKS_H

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace bergamothook {

enum class MemberState { Live, Leaving };

enum class MemberRole { EntryHost, Engine, OrderRunner, Service };

/// One entry of the platform's list.
struct Member {
  std::string Name;
  MemberRole Role = MemberRole::Engine;
  MemberState State = MemberState::Live;
  std::string FailureDomain;
  std::string Address;
  std::uint16_t Port = 0;
  /// The models that an engine serves, or the names under which a service is
  /// reachable.
  std::vector<std::string> Serves;
  /// Whether the target rejects an order with an outdated fencing number.
  bool ChecksFence = false;
};

/// The complete list at one version. Versions increase monotonically.
struct MemberList {
  std::uint64_t Version = 0;
  std::vector<Member> Members;
};

/// Calls to the membership service. Each blocks the calling task.
struct MembershipHooks {
  std::function<Result<MemberList>(TimePoint Deadline)> Read;
};

} // namespace bergamothook

#endif
