/// \file
/// Keeps the table of targets in step with the platform's list and with the
/// engines' own load reports.

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

/// The targets of one host by role and name. All calls come from tasks of one
/// runtime.
class TargetMonitor {
public:
  TargetMonitor(TargetTable &Table, OutlierDetector &Outliers,
                MembershipHooks List, EngineHooks Engines, Runtime Tasks,
                TargetMonitorSettings Settings);

  /// Reads the list until stop(). Runs as a task of its own, and starts one
  /// task for each engine that appears.
  void run();
  void stop() { this->IsStopping = true; }

  /// Tells whether the list was read at least once.
  bool hasList() const { return this->HasList; }

  /// Takes the news that \p Target is leaving, from whoever heard it first. A
  /// list that still calls it live does not bring it back.
  void markLeaving(TargetId Target);

  /// The live targets of \p Role that answer to \p Service.
  std::vector<TargetId> serving(MemberRole Role,
                                const std::string &Service) const;

  const Member *find(TargetId Target) const;
  TargetAddress addressOf(TargetId Target) const;

  /// The names of the targets that are leaving.
  std::vector<std::string> leaving() const;

  /// The entry hosts on the platform's list.
  std::vector<Member> entryHosts() const;

  /// The models that some target has loaded.
  std::set<std::string> models() const;

  /// Called with each target that turns out to be leaving.
  std::function<void(TargetId)> OnLeaving;

private:
  void take(const MemberList &List);
  void takeMember(const Member &Known);
  void join(const Member &Known, TimePoint Now);
  void forget(TargetId Target);
  void watchEngine(TargetId Target);
  void takeLoad(TargetId Target, const EngineLoad &Load, TimePoint AskedAt);
  TargetInfo infoOf(const Member &Known) const;

  TargetTable &Table;
  OutlierDetector &Outliers;
  MembershipHooks List;
  EngineHooks Engines;
  Runtime Tasks;
  TargetMonitorSettings Settings;
  std::map<TargetId, Member> Members;
  std::map<TargetId, std::vector<std::string>> LoadedModels;
  std::set<TargetId> Leaving;
  std::set<TargetId> Watched;
  std::uint64_t Version = 0;
  bool HasList = false;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
