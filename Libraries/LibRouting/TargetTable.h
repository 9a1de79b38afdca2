/// \file
/// What one host knows about every target: its failure domain, its models, its
/// state, and an estimate of its load.
///
/// Load reports are delayed, and all hosts read the same one. The estimate is
/// therefore the report plus the work that this host sent since the report was
/// taken, multiplied by the number of hosts that are assumed to do the same.
/// The older the report, the more weight this host's own outstanding work has
/// in the estimate, since it is known without delay.

#ifndef BERGAMOTHOOK_LIBROUTING_TARGETTABLE_H
#define BERGAMOTHOOK_LIBROUTING_TARGETTABLE_H

#include "LibBase/Ids.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibTarget/EngineControl.h"
#include "LibTarget/EngineHooks.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamothook {

enum class TargetState : std::uint8_t { Live, Suspect, Leaving };

/// Returns the identifier of a model with an adapter and a version. With an
/// empty adapter and version it is the identifier of the bare model, as from
/// idOfName().
ModelId variantIdOf(std::string_view Model, std::string_view Adapter,
                    std::string_view Version);

/// A target as described by the settings, the membership list and its reports.
struct TargetInfo {
  TargetId Id;
  TargetAddress Address;
  FailureDomainId Domain;
  EngineRole Role = EngineRole::Both;
  /// Whether the target refuses an order with an outdated fencing number.
  bool ChecksFence = false;
  /// The variants that are loaded, and those loaded for all adapters.
  std::vector<ModelId> Models;
};

/// A load report of a target.
struct LoadReport {
  /// When the target measured the values, on this host's clock: the arrival
  /// time less the age stated by the target.
  TimePoint TakenAt;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint64_t WaitingPrefillTokens = 0;
  double PrefillTokensPerSecond = 0;
  double DecodeTokensPerSecond = 0;
  std::uint32_t BatchLimit = 0;
};

/// Converts \p Load to a report that was taken at \p TakenAt.
LoadReport reportOf(const EngineLoad &Load, TimePoint TakenAt);

/// The estimated current load of a target.
struct LoadEstimate {
  /// Sequences in prefill or decode.
  double Running = 0;
  /// Sequences that wait for room in the batch.
  double Waiting = 0;
  /// Prompt tokens to be computed before a new request starts.
  double PrefillTokens = 0;
};

struct TargetTableSettings {
  /// The number of entry hosts that dispatch to the same targets.
  std::uint32_t Hosts = 1;
  /// The share of this host's dispatches since the report that every other host
  /// is assumed to have made as well: 0 counts only its own, 1 assumes that all
  /// hosts dispatch the same.
  double PeerShare = 0.25;
  /// The time constant of a report: at this age its weight is 1/e.
  Duration ReportDecay = std::chrono::seconds(30);
  /// Defaults for a target that has not reported.
  double AssumedPrefillTokensPerSecond = 8000;
  double AssumedDecodeTokensPerSecond = 400;
  std::uint32_t AssumedBatchLimit = 16;
};

/// The target table of one host. Not thread-safe.
class TargetTable {
public:
  /// The index of a target in the table. A slot is reused after remove().
  using Slot = std::uint32_t;

  struct Entry {
    TargetInfo Info;
    TargetState State = TargetState::Live;
    bool IsUsed = false;
    LoadReport Report;
    bool HasReport = false;
    /// When the target joined; a new target receives less work at first.
    TimePoint JoinedAt;
    /// This host's outstanding work on the target.
    std::uint32_t OwnRunning = 0;
    std::uint32_t OwnWaiting = 0;
    std::uint64_t OwnPrefillTokens = 0;

    /// A change of this host's own work after the report.
    struct LoadDelta {
      TimePoint At;
      std::int32_t Running = 0;
      std::int32_t Waiting = 0;
      std::int64_t PrefillTokens = 0;
    };
    std::vector<LoadDelta> DeltasSinceReport;
  };

  explicit TargetTable(TargetTableSettings Settings);

  /// Adds a target, or updates the settings of a known one. The state, load and
  /// outstanding work of a known target are kept.
  void upsert(const TargetInfo &Info, TimePoint Now);

  /// Removes a target.
  void remove(TargetId Id);

  /// Sets the state; a leaving target receives no further work. Unknown targets
  /// are ignored, since the membership list may be ahead of the settings.
  void setState(TargetId Id, TargetState State);

  /// Applies a load report. A report older than the current one is ignored.
  void report(TargetId Id, const LoadReport &Report);

  /// Records a request that was sent, with the number of prompt tokens to be
  /// computed for it.
  void dispatched(TargetId Id, std::uint64_t PrefillTokens, TimePoint Now);

  /// Records the first token of a request recorded by dispatched().
  void firstToken(TargetId Id, std::uint64_t PrefillTokens, TimePoint Now);

  /// Records the end of a request; \p HadFirstToken tells whether firstToken()
  /// was called for it.
  void finished(TargetId Id, std::uint64_t PrefillTokens, bool HadFirstToken,
                TimePoint Now);

  /// Returns the slots of the targets in any state that have \p Model loaded.
  const std::vector<Slot> &serving(ModelId Model) const;

  /// Returns whether the target in slot \p SlotIndex has \p Model loaded.
  bool serves(Slot SlotIndex, ModelId Model) const;

  const Entry &at(Slot SlotIndex) const { return this->Entries[SlotIndex]; }

  /// Returns the entry of a target, or null.
  const Entry *find(TargetId Id) const;

  Result<Slot> slotOf(TargetId Id) const;

  /// Estimates the load of the target in slot \p SlotIndex.
  LoadEstimate estimate(Slot SlotIndex, TimePoint Now) const;

  /// Returns the prefill rate in tokens/s, reported or assumed.
  double prefillRate(Slot SlotIndex) const;

  /// Returns the decode rate of the whole batch in tokens/s, reported or
  /// assumed.
  double decodeRate(Slot SlotIndex) const;

  std::uint32_t batchLimit(Slot SlotIndex) const;

  std::size_t size() const { return this->SlotOfTarget.size(); }

  /// Returns the number of slots, including unused ones.
  std::size_t slots() const { return this->Entries.size(); }

  /// Returns the memory used by the table in bytes, for the metrics.
  std::size_t bytes() const;

  const TargetTableSettings &settings() const { return this->Settings; }

  /// Sets the number of entry hosts, as given by the membership list.
  void setHosts(std::uint32_t Hosts) { this->Settings.Hosts = Hosts; }

private:
  void index(Slot SlotIndex);
  void unindex(Slot SlotIndex);
  void recordDelta(Entry &Target, Entry::LoadDelta Delta);

  TargetTableSettings Settings;
  std::vector<Entry> Entries;
  std::vector<Slot> FreeSlots;
  std::unordered_map<TargetId, Slot> SlotOfTarget;
  std::unordered_map<ModelId, std::vector<Slot>> SlotsOfModel;
};

} // namespace bergamothook

#endif
