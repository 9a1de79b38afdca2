/// \file
/// What one host knows of every target: its place, its models, its state, and
/// an estimate of its load.
///
/// A load report is late, and every host reads the same one. The estimate is
/// therefore the report plus the work that this host sent since the report was
/// taken, multiplied by the number of hosts that are assumed to do the same.
/// The older the report, the more the estimate rests on this host's own
/// outstanding work, which is known without a lag.

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

/// Gives the identifier of one model with one adapter in one version. An empty
/// adapter and version name the bare model, as idOfName() does.
ModelId variantIdOf(std::string_view Model, std::string_view Adapter,
                    std::string_view Version);

/// A target as settings, the membership list and its reports describe it.
struct TargetInfo {
  TargetId Id;
  TargetAddress Address;
  FailureDomainId Domain;
  EngineRole Role = EngineRole::Both;
  /// Whether the target refuses an order with an old fencing number.
  bool ChecksFence = false;
  /// The variants that are loaded, and those loaded for all adapters.
  std::vector<ModelId> Models;
};

/// The numbers of a load report.
struct LoadReport {
  /// When the target took the numbers, on this host's clock: the time of
  /// arrival less the age that the target tells.
  TimePoint TakenAt;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint64_t WaitingPrefillTokens = 0;
  double PrefillTokensPerSecond = 0;
  double DecodeTokensPerSecond = 0;
  std::uint32_t BatchLimit = 0;
};

/// Takes the numbers of \p Load as a report that was taken at \p TakenAt.
LoadReport reportOf(const EngineLoad &Load, TimePoint TakenAt);

/// The load of one target as estimated for the present time.
struct LoadEstimate {
  /// Sequences that decode or prefill.
  double Running = 0;
  /// Sequences that wait for a place in the batch.
  double Waiting = 0;
  /// Prompt tokens that are to be computed before a new request starts.
  double PrefillTokens = 0;
};

struct TargetTableSettings {
  /// The number of entry hosts that dispatch to the same targets.
  std::uint32_t Hosts = 1;
  /// How strongly this host's dispatches since the report stand for those of
  /// the other hosts: 0 counts its own only, 1 assumes that all do the same.
  double PeerShare = 0.25;
  /// The age at which a report counts for a share of 1/e.
  Duration ReportDecay = std::chrono::seconds(30);
  /// The rates assumed of a target that never reported.
  double AssumedPrefillTokensPerSecond = 8000;
  double AssumedDecodeTokensPerSecond = 400;
  std::uint32_t AssumedBatchLimit = 16;
};

/// The table of targets of one host. Not thread-safe.
class TargetTable {
public:
  /// The place of a target in the table. A slot is reused after remove().
  using Slot = std::uint32_t;

  /// One entry of the table.
  struct Entry {
    TargetInfo Info;
    TargetState State = TargetState::Live;
    bool IsUsed = false;
    LoadReport Report;
    bool HasReport = false;
    /// When the target joined; a new target is given less work at first.
    TimePoint JoinedAt;
    /// This host's work on the target that has not ended.
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

  /// Adds a target, or takes over new settings of a known one. Its state, load
  /// and outstanding work are kept.
  void upsert(const TargetInfo &Info, TimePoint Now);

  /// Forgets a target.
  void remove(TargetId Id);

  /// Sets the state; a leaving target gets no work from now on. Unknown targets
  /// are ignored, since the list may run ahead of the settings.
  void setState(TargetId Id, TargetState State);

  /// Takes a load report. A report older than the one held is ignored.
  void report(TargetId Id, const LoadReport &Report);

  /// Counts a request that was sent, with the prompt tokens that are to be
  /// computed for it.
  void dispatched(TargetId Id, std::uint64_t PrefillTokens, TimePoint Now);

  /// Counts the first token of a request counted by dispatched().
  void firstToken(TargetId Id, std::uint64_t PrefillTokens, TimePoint Now);

  /// Counts the end of a request; \p HadFirstToken tells whether firstToken()
  /// was counted for it.
  void finished(TargetId Id, std::uint64_t PrefillTokens, bool HadFirstToken,
                TimePoint Now);

  /// Gives the slots of the targets that have \p Model loaded, of every state.
  const std::vector<Slot> &serving(ModelId Model) const;

  /// Tells whether the target in slot \p SlotIndex has \p Model loaded.
  bool serves(Slot SlotIndex, ModelId Model) const;

  const Entry &at(Slot SlotIndex) const { return this->Entries[SlotIndex]; }

  /// Gives the entry of a target, or null.
  const Entry *find(TargetId Id) const;

  Result<Slot> slotOf(TargetId Id) const;

  /// Estimates the load of the target in slot \p SlotIndex.
  LoadEstimate estimate(Slot SlotIndex, TimePoint Now) const;

  /// Gives the prefill rate in tokens/s, reported or assumed.
  double prefillRate(Slot SlotIndex) const;

  /// Gives the decode rate in tokens/s of the whole batch.
  double decodeRate(Slot SlotIndex) const;

  std::uint32_t batchLimit(Slot SlotIndex) const;

  std::size_t size() const { return this->SlotOfTarget.size(); }

  /// Gives the number of slots; some may be unused.
  std::size_t slots() const { return this->Entries.size(); }

  /// Gives the bytes that the table holds, for the metrics.
  std::size_t bytes() const;

  const TargetTableSettings &settings() const { return this->Settings; }

  /// Sets the number of entry hosts, as the membership list tells it.
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
