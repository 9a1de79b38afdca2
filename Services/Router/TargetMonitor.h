/// \file
/// Keeps the target table up to date from the platform's member list and the
/// load reports of the engines.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_TARGETMONITOR_H
#define BERGAMOTHOOK_SERVICES_ROUTER_TARGETMONITOR_H

#include "LibPlatform/MembershipHooks.h"
#include "LibRouting/OutlierDetector.h"
#include "LibRouting/TargetTable.h"
#include "LibTarget/EngineHooks.h"
#include "LibTask/Runtime.h"

#include <map>
#include <set>

namespace bergamothook {

struct TargetMonitorSettings {
  Duration ListInterval = std::chrono::milliseconds(500);
  Duration ListTimeout = std::chrono::seconds(2);
  Duration LoadInterval = std::chrono::milliseconds(500);
  Duration LoadTimeout = std::chrono::seconds(1);
};

/// The targets known to one host, by role and name. Not thread-safe: all calls
/// must come from tasks of one runtime.
class TargetMonitor {
public:
  TargetMonitor(TargetTable &Table, OutlierDetector &Outliers,
                MembershipHooks List, EngineHooks Engines, Runtime Tasks,
                TargetMonitorSettings Settings);

  /// Polls the member list until stop(). Runs as its own task, and starts one
  /// task per engine that polls its load.
  void run();
  void stop() { this->IsStopping = true; }

  /// \returns whether the list has been read at least once.
  bool hasList() const { return this->HasList; }

  /// Marks \p Target as leaving; the list and the engine itself may both report
  /// it. A list that still has it as live does not revert this.
  void markLeaving(TargetId Target);

  /// \returns the targets of \p Role that serve \p Service and are not leaving.
  std::vector<TargetId> serving(MemberRole Role,
                                const std::string &Service) const;

  const Member *find(TargetId Target) const;
  TargetAddress addressOf(TargetId Target) const;

  /// \returns the names of the targets that are leaving.
  std::vector<std::string> leaving() const;

  /// \returns the entry hosts on the platform's list.
  std::vector<Member> entryHosts() const;

  /// \returns the models loaded by at least one engine, and those that the list
  /// names.
  std::set<std::string> models() const;

  /// Called when a listed target is marked as leaving.
  std::function<void(TargetId)> OnLeaving;

private:
  void applyList(const MemberList &Latest);
  void applyMember(const Member &Entry);
  void upsertTarget(const Member &Entry, TimePoint Now);
  void removeTarget(TargetId Target);
  void pollEngine(TargetId Target);
  void applyLoad(TargetId Target, const EngineLoad &Load,
                 TimePoint RequestedAt);
  TargetInfo infoOf(const Member &Entry) const;

  TargetTable &Table;
  OutlierDetector &Outliers;
  MembershipHooks List;
  EngineHooks Engines;
  Runtime Tasks;
  TargetMonitorSettings Settings;
  std::map<TargetId, Member> Members;
  std::map<TargetId, std::vector<std::string>> LoadedModels;
  std::set<TargetId> Leaving;
  std::set<TargetId> PolledEngines;
  std::uint64_t Version = 0;
  bool HasList = false;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
