/// \file
/// The base of all simulated targets: faults, and a ledger of the requests they
/// ran.

#ifndef BERGAMOTHOOK_LIBREPLAY_FAKETARGET_H
#define BERGAMOTHOOK_LIBREPLAY_FAKETARGET_H

#include "LibBase/Ids.h"
#include "LibReplay/Scenario.h"
#include "LibReplay/SimulatedProcess.h"

#include <functional>
#include <map>

namespace bergamothook {

/// Called when a request reaches a step, so that faults can be injected there.
using StepHook = std::function<void(Step, RequestId, SimulatedProcess &)>;

/// The counters of one request at one target.
struct TargetLedgerEntry {
  /// How often the request arrived, excluding refused calls.
  std::uint32_t Dispatches = 0;
  /// How often it took effect.
  std::uint32_t Runs = 0;
};

/// The faults and the ledger of one target.
class FakeTarget {
public:
  FakeTarget(TargetId Id, Runtime Base, StepHook OnStep);

  /// Closes all connections and accepts new ones after \p Downtime.
  void crash(Duration Downtime);
  void refuseUntil(TimePoint When);
  /// Stalls all currently open connections permanently.
  void stallConnections();
  /// Delays all work by \p Delay until \p When.
  void slowUntil(TimePoint When, Duration Delay);

  TargetId id() const { return this->Id; }
  bool isDown() const { return this->Base.Now() < this->DownEnd; }
  bool isRefusing() const { return this->Base.Now() < this->RefuseEnd; }
  std::uint32_t crashes() const { return this->CrashCount; }
  const std::map<RequestId, TargetLedgerEntry> &ledger() const {
    return this->Ledger;
  }

protected:
  /// The target's counters when a connection was opened. A later crash or stall
  /// is detected by a difference from the current ones.
  struct Connection {
    std::uint32_t CrashCount = 0;
    std::uint32_t StallCount = 0;
  };

  Connection connect() const;
  bool isLost(const Connection &Open) const;
  bool isStalled(const Connection &Open) const;
  Duration delay() const;

  TargetId Id;
  Runtime Base;
  StepHook OnStep;
  std::map<RequestId, TargetLedgerEntry> Ledger;
  /// The number of crashes so far.
  std::uint32_t CrashCount = 0;
  Event Changed;

private:
  std::uint32_t StallCount = 0;
  TimePoint DownEnd{};
  TimePoint RefuseEnd{};
  TimePoint SlowEnd{};
  Duration SlowDelay{};
};

} // namespace bergamothook

#endif
