/// \file
/// The state machine replicated over the stream "orders": which claim of an
/// order won, and how the order ended. Every reader of the stream reaches the
/// same state.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERFOLD_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERFOLD_H

#include "LibOutcome/OrderRecord.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace bergamothook {

enum class OrderState : std::uint8_t {
  /// Claimed by a process that may be dispatching it.
  Claimed,
  Done,
  /// Released by its claimant: the key may be claimed again.
  Released,
  Unknown,
  /// Settled by an operator as not run: the key remains used.
  SettledNotRun,
  /// Settled by an operator as run, without a recorded answer.
  SettledDone,
};

/// \returns the name of \p Value in reports.
const char *nameOf(OrderState Value);

/// The state of one order.
struct OrderEntry {
  OrderState State = OrderState::Claimed;
  RecordId Claim;
  Incarnation Claimant;
  RecordPosition Position;
  TeamId Team;
  Hash128 BodyHash;
  /// The last target that the claimant called.
  TargetId Target;
  std::int64_t ClaimedAt = 0;
  std::int64_t KeyDate = 0;
  bool IsTicketed = false;
  /// The caller's attempt for which the claim was made; 0 if unknown.
  std::uint32_t CallerAttempt = 0;
  /// The number of claims released before this one.
  std::uint32_t Released = 0;
  bool HasClaimantEnded = false;
  std::uint16_t Status = 0;
  bool IsResultWhole = true;
  std::string ContentType;
  std::string Body;
  std::string Operator;
  std::string Note;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->State, this->Claim, this->Claimant, this->Position.At,
       this->Position.Index, this->Team, this->BodyHash, this->Target,
       this->ClaimedAt, this->KeyDate, this->IsTicketed, this->CallerAttempt,
       this->Released, this->HasClaimantEnded, this->Status,
       this->IsResultWhole, this->ContentType, this->Body, this->Operator,
       this->Note);
  }
};

struct OrderFoldLimits {
  /// How long the full state of a key is kept.
  std::chrono::milliseconds KeyRetention = std::chrono::hours(7 * 24);
  /// The maximum number of undated keys whose hashes are kept after the
  /// retention. Beyond it, unknown undated keys are rejected.
  std::size_t MaxExpiredUndatedKeys = 200'000;
  /// The maximum amount by which one claim advances the log time, so that one
  /// wrong clock does not expire all keys.
  std::chrono::milliseconds MaxLogTimeAdvance = std::chrono::hours(1);
};

/// Whether a key can be claimed.
enum class KeyStatus { Claimable, TooOld, Known };

/// Applies the records of the stream. Handles duplicate records, records that
/// arrive before the one that they refer to, and records of fenced writers.
class OrderFold {
public:
  explicit OrderFold(OrderFoldLimits Limits);

  /// Applies the next record of the stream. \returns the order that the record
  /// refers to, if any. OutcomeError::MalformedRecord leaves the state
  /// unchanged.
  Result<std::optional<RequestId>> apply(const StreamRecord &Record,
                                         RecordPosition Position);

  /// \returns the state of \p Request, or null if it is unknown.
  const OrderEntry *find(RequestId Request) const;

  /// Determines whether \p Request with the date \p KeyDate (0 for none) can be
  /// claimed: it must be unknown, and its state must not have expired.
  KeyStatus keyStatusOf(RequestId Request, std::int64_t KeyDate) const;

  /// \returns whether \p Request was released for a later attempt of the caller
  /// than \p CallerAttempt. The caller was answered "not run" then, so the
  /// earlier attempt must not run any more.
  bool isSuperseded(RequestId Request, std::uint32_t CallerAttempt) const;

  /// \returns whether \p Claim gives its writer the right to dispatch the
  /// order.
  bool isWinner(RequestId Request, RecordId Claim) const;

  bool hasEnded(Incarnation Process) const;

  /// \returns the orders without a recorded result, oldest first.
  std::vector<RequestId> openOrders() const;

  std::size_t size() const { return this->Entries.size(); }

  /// Serializes the state for restore().
  std::string snapshot() const;

  /// Replaces the state with one written by snapshot().
  Result<void> restore(std::string_view Snapshot);

private:
  template <typename Body>
  Result<std::optional<RequestId>>
  applyBody(const StreamRecord &Record,
            const std::function<void(const Body &)> &Change);

  void applyClaim(const StreamRecord &Record, const OrderClaim &Claim,
                  RecordPosition Position);
  void applyResult(Incarnation Writer, const OrderResult &Answer);
  void applyNotRun(Incarnation Writer, const OrderNotRun &Release);
  void applyUnknown(Incarnation Writer, const OrderUnknown &Unknown);
  void applyEnded(const OrderIncarnationEnded &End);
  void applySettled(const OrderSettled &Settled);
  bool canClaim(const OrderClaim &Claim) const;
  OrderEntry *findClaim(RequestId Request, RecordId Claim, Incarnation Writer);
  void advanceLogTime(std::int64_t WrittenAt);
  void expireKeys();

  OrderFoldLimits Limits;
  std::unordered_map<RequestId, OrderEntry> Entries;
  /// Released claims, and when they were released. A duplicate of one, or one
  /// that reaches the log late, must not win.
  std::map<RecordId, std::int64_t> RevokedClaims;
  std::map<Incarnation, std::int64_t> EndedProcesses;
  /// The known keys, ordered by the time from which their retention counts.
  std::multimap<std::int64_t, RequestId> KeysByAge;
  /// Undated keys whose state has expired.
  std::set<RequestId> ExpiredUndatedKeys;
  bool HasDiscardedUndatedKeys = false;
  /// The latest time stated by claims. It never decreases.
  std::int64_t LogTime = 0;
  /// Keys dated before this time may have expired. It never decreases.
  std::int64_t ExpiredBefore = 0;
};

} // namespace bergamothook

#endif
