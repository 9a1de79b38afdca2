/// \file
/// The meaning of the stream "orders": which claim of an order is the first,
/// and what became of it. Every reader of the stream comes to the same state.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERSTATEMACHINE_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERSTATEMACHINE_H

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
  /// Released by its claimant: the key may be claimed anew.
  Released,
  Unknown,
  /// Settled by an operator as not run: the key stays used.
  SettledNotRun,
  /// Settled by an operator as run, without a recorded answer.
  SettledDone,
};

/// The word for \p Value in reports.
const char *nameOf(OrderState Value);

/// All that the log tells of one order.
struct OrderEntry {
  OrderState State = OrderState::Claimed;
  RecordId Claim;
  Incarnation Claimant;
  RecordPosition Position;
  TeamId Team;
  Hash128 BodyHash;
  /// The target that the claimant went to last.
  TargetId Target;
  std::int64_t ClaimedAt = 0;
  std::int64_t KeyDate = 0;
  bool IsTicketed = false;
  /// The caller's attempt that the claim was made for; 0 where it is unknown.
  std::uint32_t CallerAttempt = 0;
  /// The number of claims that were released before this one.
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

struct OrderStateMachineLimits {
  /// How long a key is remembered whole.
  std::chrono::milliseconds Horizon = std::chrono::hours(7 * 24);
  /// The most keys without a date that are remembered by their hash alone
  /// after the horizon. Beyond it, unknown keys without a date are refused.
  std::size_t MaxForgottenKeys = 200'000;
  /// The furthest that one claim moves the time of the log, so that one wrong
  /// clock does not make the fold forget everything.
  std::chrono::milliseconds MaxClockStep = std::chrono::hours(1);
};

/// Whether a key can be claimed at all.
enum class KeyVerdict { Claimable, TooOld, Known };

/// Folds the records of the stream. Takes second copies of a record, records
/// that arrive before what they speak of, and records of fenced writers.
class OrderStateMachine {
public:
  explicit OrderStateMachine(OrderStateMachineLimits Limits);

  /// Takes the next record of the stream. \returns the order that it was
  /// about, where there is one. OutcomeError::MalformedRecord changes nothing.
  Result<std::optional<RequestId>> apply(const StreamRecord &Record,
                                         RecordPosition Position);

  /// Gives what is known of \p Request, or null.
  const OrderEntry *find(RequestId Request) const;

  /// Tells whether \p Request with the date \p KeyDate (0 for none) can be
  /// claimed: it is not known, and it can't have been forgotten.
  KeyVerdict verdictOf(RequestId Request, std::int64_t KeyDate) const;

  /// Tells whether \p Request was released for a later attempt of the caller
  /// than \p CallerAttempt. The caller was told "not run" then, so the earlier
  /// attempt must not run any more.
  bool isSuperseded(RequestId Request, std::uint32_t CallerAttempt) const;

  /// Tells whether the claim \p Claim gives its writer the right to dispatch.
  bool isWinner(RequestId Request, RecordId Claim) const;

  bool hasEnded(Incarnation Process) const;

  /// The orders that no result was recorded for, oldest first.
  std::vector<RequestId> openOrders() const;

  std::size_t size() const { return this->Entries.size(); }

  /// Writes the state, to be loaded by restore().
  std::string snapshot() const;

  /// Replaces the state by what snapshot() wrote.
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
  void applyUnknown(Incarnation Writer, const OrderUnknown &Loss);
  void applyEnded(const OrderIncarnationEnded &End);
  void applySettled(const OrderSettled &Settled);
  bool canClaim(const OrderClaim &Claim) const;
  OrderEntry *findClaim(RequestId Request, RecordId Claim, Incarnation Writer);
  void moveTime(std::int64_t WrittenAt);
  void forgetOld();

  OrderStateMachineLimits Limits;
  std::unordered_map<RequestId, OrderEntry> Entries;
  /// Claims that were given up before they landed.
  std::map<RecordId, std::int64_t> VoidClaims;
  std::map<Incarnation, std::int64_t> Ended;
  /// Remembered keys by the time that their memory counts from.
  std::multimap<std::int64_t, RequestId> ByAge;
  /// Keys without a date whose records were forgotten.
  std::set<RequestId> Forgotten;
  bool HasForgottenUndated = false;
  /// The latest time that claims tell of. It never goes back.
  std::int64_t LogTime = 0;
  /// Keys dated before this may be forgotten. It never goes back.
  std::int64_t ForgottenBelow = 0;
};

} // namespace bergamothook

#endif
