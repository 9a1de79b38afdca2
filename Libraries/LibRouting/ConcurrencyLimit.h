/// \file
/// How many requests one host may have on the targets of a pool at one time.
///
/// Load reports come late, so hosts that trust them overshoot together when the
/// targets are full. The limit needs no report: it falls by a factor while
/// first tokens take longer than wanted, and grows slowly while they do not and
/// the limit is in the way.

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
  /// The wanted time from sending to the first token of urgent work, without
  /// the computation of its own prompt.
  Duration FirstTokenTarget = std::chrono::milliseconds(800);
  /// The share of first tokens that may take longer.
  double MaxLateShare = 0.1;
  /// What one late period multiplies the limit by.
  double Backoff = 0.9;
  /// What one good period adds to the limit, as a share of it.
  double Growth = 0.03;
  Duration Period = std::chrono::milliseconds(500);
};

/// The limit of one pool on one host. Not thread-safe.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitSettings Settings);

  /// Tells whether another request may be sent while \p Running are out. A
  /// refusal counts as the limit being in the way.
  bool permits(std::size_t Running);

  /// Counts the first token of urgent work that waited \p Waited at its target,
  /// without the computation of its own prompt.
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
