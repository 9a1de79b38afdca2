/// \file
/// An adaptive limit on the requests that one host may have in flight on the
/// targets of a pool.
///
/// Load reports are delayed, so hosts that rely on them overshoot together when
/// the targets are full. The limit needs no reports: it decreases by a factor
/// while first tokens take longer than the target latency, and grows slowly
/// while they do not and the limit holds requests back.
///
/// A host that sees only a small part of the load of its targets uses a limit
/// that begins on demand (ConcurrencyLimitSettings::SignsToBegin): there is
/// none until signs of overload come in quick succession, and none again when
/// they have ceased.

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
  /// If above 0, there is no limit until a period has this many signs of
  /// overload, and more than MaxLateShare of its observations. The limit then
  /// begins at the requests in flight, less Backoff. Once it has begun, as many
  /// signs end a period early: targets that are full answer in milliseconds, so
  /// that each further call meets them before the period is over.
  std::uint32_t SignsToBegin = 0;
  /// A limit that began on demand ends after this many successive periods
  /// without overload in which it held nothing back.
  std::uint32_t CalmPeriodsToEnd = 4;
};

/// The limit of one pool on one host. Not thread-safe.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitSettings Settings);

  /// Returns whether another request may be sent while \p Running are in
  /// flight. A refusal marks the limit as holding requests back in this period.
  bool permits(std::size_t Running);

  /// Records the first token of urgent work that waited \p Waited at its
  /// target, without the computation of its own prompt. For a limit that does
  /// not begin on demand.
  void firstToken(Duration Waited, TimePoint Now);

  /// Records how one of \p Running requests in flight fared. \p IsLate is a
  /// sign of overload: a first token of urgent work after the target latency,
  /// or a target that was full. A limit that begins on demand ignores requests
  /// that started before its last reduction: they say nothing of its effect.
  void observe(bool IsLate, TimePoint StartedAt, std::size_t Running,
               TimePoint Now);

  /// Ends the periods of a limit that begins on demand up to \p Now, which
  /// observe() also does.
  void advance(TimePoint Now);

  /// Returns whether there is a limit at present.
  bool isActive() const { return this->IsActive; }

  /// Returns the limit; infinity if there is none at present.
  double limit() const;

  /// \returns whether there is a limit only while there are signs of overload.
  bool beginsOnDemand() const { return this->Settings.SignsToBegin > 0; }

private:
  bool isOverloaded() const;
  void begin(std::size_t Running);
  void observeOnDemand(TimePoint StartedAt, bool IsLate, std::size_t Running,
                       TimePoint Now);
  void endPeriod();
  void endPeriodOnDemand();
  void startPeriod();

  ConcurrencyLimitSettings Settings;
  double Limit;
  TimePoint PeriodEnd;
  std::uint32_t Observed = 0;
  std::uint32_t Late = 0;
  bool WasLimiting = false;
  bool IsActive;
  std::uint32_t CalmPeriods = 0;
  std::uint32_t GrowingPeriods = 0;
  TimePoint ReducedAt{};
};

} // namespace bergamothook

#endif
