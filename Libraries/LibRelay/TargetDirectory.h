/// \file
/// The targets that the platform's list names, and what this host knows of each
/// from its own calls.

#ifndef BERGAMOTHOOK_LIBRELAY_TARGETDIRECTORY_H
#define BERGAMOTHOOK_LIBRELAY_TARGETDIRECTORY_H

#include "LibBase/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamothook {

/// What the list says of a target.
struct ListedTarget {
  /// Names one start of a target; nearly always a new one for each start.
  std::string Id;
  std::string Service;
  /// IP:PORT.
  std::string Address;
  std::string FailureDomain;
  std::uint32_t Slots = 0;
  bool IsLeaving = false;
  /// When the target started, by its own wall clock. A later one under the same
  /// identifier knows nothing of the earlier one's work.
  std::int64_t StartedAt = 0;

  bool operator==(const ListedTarget &) const = default;
};

/// A target with what this host has seen of it.
struct TargetState {
  ListedTarget Listed;
  /// Calls of this host under way.
  std::uint32_t Running = 0;
  /// Prompt tokens of those that have not produced an event yet.
  std::int64_t ReadingTokens = 0;
  /// Failures since the last good answer.
  std::uint32_t FailuresInARow = 0;
  /// No new calls before, but for one probe at a time.
  TimePoint AvoidUntil{};
  /// Told that its queue is full; others are taken first until then.
  TimePoint FullUntil{};
  /// The list no longer names it, and it may only be a lapse of the list.
  std::optional<TimePoint> MissingSince;
  /// The moment from which no new call may go there.
  bool IsRetired = false;
};

struct DirectoryPolicy {
  /// How long an entry that vanished around an outage of the list still counts:
  /// live targets are listed again within two seconds of its return.
  Duration LapseGrace = std::chrono::milliseconds(1800);
  /// How long after an outage a vanished entry may be a lapse.
  Duration LapseWindow = std::chrono::milliseconds(3000);
  /// How long a target is avoided after its first failure; doubles with each.
  Duration FirstAvoidance = std::chrono::milliseconds(400);
  Duration LongestAvoidance = std::chrono::milliseconds(3000);
  /// How long a target that refused for want of room is taken last.
  Duration FullTime = std::chrono::milliseconds(250);
};

/// The directory of one host. Not thread-safe.
class TargetDirectory {
public:
  explicit TargetDirectory(DirectoryPolicy Policy = {}) : Policy(Policy) {}

  /// Takes an entry of the list. \returns whether it changed anything.
  bool onListed(const ListedTarget &Target, TimePoint Now);

  /// Takes the removal of an entry.
  void onRemoved(const std::string &Id, TimePoint Now);

  /// Takes the whole list: entries that it does not name are removed.
  void onFullList(const std::vector<ListedTarget> &Targets, TimePoint Now);

  /// Takes notice that the list could not be read.
  void onListUnreachable(TimePoint Now) { this->UnreachableAt = Now; }

  /// Ends the grace of entries that are still missing.
  void expire(TimePoint Now);

  /// Gives the targets of a service that may get new calls.
  std::vector<TargetState *> usable(const std::string &Service);

  TargetState *find(const std::string &Id);

  void onStarted(const std::string &Id, std::int64_t PromptTokens);
  /// The first event came, or the call ended before.
  void onPromptRead(const std::string &Id, std::int64_t PromptTokens);
  void onEnded(const std::string &Id);
  void onGoodAnswer(const std::string &Id);
  void onFailure(const std::string &Id, TimePoint Now);
  void onFull(const std::string &Id, TimePoint Now);

  /// Another target answered at its address: it has ended.
  void onReplaced(const std::string &Id);

  std::size_t size() const { return this->Targets.size(); }

private:
  void forgetIfIdle(const std::string &Id);

  DirectoryPolicy Policy;
  std::map<std::string, TargetState> Targets;
  std::optional<TimePoint> UnreachableAt;
};

} // namespace bergamothook

#endif
