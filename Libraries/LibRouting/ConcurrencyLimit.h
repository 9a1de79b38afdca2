/// \file
/// An adaptive limit on the requests that one host may have in flight on the
/// targets of a pool.
///
/// Load reports are delayed, so hosts that rely on them overshoot together when
/// the targets are full. The limit needs no reports: it decreases by a factor
/// while first tokens take longer than the target latency, and grows slowly
/// while they do not and the limit holds requests back.

#ifndef BERGAMOTHOOK_LIBROUTING_CONCURRENCYLIMIT_H
#define BERGAMOTHOOK_LIBROUTING_CONCURRENCYLIMIT_H

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>

namespace bergamothook {

struct ConcurrencyLimitSettings {
  double Initial = 256;
  double Min = 4;
  double Max = 4096;
  /// The target latency from sending to the first token of urgent work, without
  /// the computation of its own prompt.
  Duration FirstTokenTarget = std::chrono::milliseconds(800);
  /// The share of first tokens that may exceed the target latency.
  double MaxLateShare = 0.1;
  /// The factor applied to the limit after a period with too many late tokens.
  double Backoff = 0.9;
  /// The relative increase of the limit after a period without too many late
  /// tokens.
  double Growth = 0.03;
  Duration Period = std::chrono::milliseconds(500);
};

/// The limit of one pool on one host. Not thread-safe.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitSettings Settings);

  /// Returns whether another request may be sent while \p Running are in
  /// flight. A refusal marks the limit as holding requests back in this period.
  bool permits(std::size_t Running);

  /// Records the first token of urgent work that waited \p Waited at its
  /// target, without the computation of its own prompt.
  void firstToken(Duration Waited, TimePoint Now);

  double limit() const { return this->Limit; }

private:
  void endPeriod();

  ConcurrencyLimitSettings Settings;
  double Limit;
  TimePoint PeriodEnd;
  std::uint32_t Observed = 0;
  std::uint32_t Late = 0;
  bool WasLimiting = false;
};

} // namespace bergamothook

#endif
