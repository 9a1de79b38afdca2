/// \file
/// What all simulated targets share: faults, and a ledger of what they ran.

#ifndef BERGAMOTHOOK_LIBREPLAY_FAKETARGET_H
#define BERGAMOTHOOK_LIBREPLAY_FAKETARGET_H

#include "LibBase/Ids.h"
#include "LibReplay/HostGate.h"
#include "LibReplay/Scenario.h"

#include <functional>
#include <map>

namespace bergamothook {

/// Called when a request reaches a step at a target.
using StepHook = std::function<void(Step, RequestId, HostGate &)>;

/// What one target did with one request.
struct TargetLedgerLine {
  /// How often the request arrived, refused calls not counted.
  std::uint32_t Dispatches = 0;
  /// How often it ran to an effect.
  std::uint32_t Runs = 0;
};

/// The state of one target that faults change.
class FakeTarget {
public:
  FakeTarget(TargetId Id, Runtime Base, StepHook Reach);

  /// Ends everything in flight and listens again after \p Downtime.
  void crash(Duration Downtime);
  void refuseUntil(TimePoint When);
  /// Silences the connections that are open now, for good.
  void silence();
  /// Delays everything by \p Delay until \p When.
  void slowUntil(TimePoint When, Duration Delay);

  TargetId id() const { return this->Id; }
  bool isDown() const { return this->Base.Now() < this->DownEnd; }
  bool isRefusing() const { return this->Base.Now() < this->RefuseEnd; }
  std::uint32_t crashes() const { return this->Epoch; }
  const std::map<RequestId, TargetLedgerLine> &ledger() const {
    return this->Ledger;
  }

protected:
  /// A connection as its target sees it.
  struct Connection {
    std::uint32_t Epoch = 0;
    std::uint32_t SilenceCount = 0;
  };

  Connection connect() const;
  bool isLost(const Connection &Open) const;
  bool isSilent(const Connection &Open) const;
  Duration delay() const;

  TargetId Id;
  Runtime Base;
  StepHook Reach;
  std::map<RequestId, TargetLedgerLine> Ledger;
  /// The number of crashes so far.
  std::uint32_t Epoch = 0;
  Event Changed;

private:
  std::uint32_t Silences = 0;
  TimePoint DownEnd{};
  TimePoint RefuseEnd{};
  TimePoint SlowEnd{};
  Duration SlowDelay{};
};

} // namespace bergamothook

#endif
