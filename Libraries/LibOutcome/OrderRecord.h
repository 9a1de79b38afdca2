/// \file
/// The records of the stream "orders". The writer of a record is the one that
/// its envelope names.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERRECORD_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERRECORD_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibOutcome/OutcomeError.h"
#include "LibStream/StreamRecord.h"

#include <cstdint>
#include <string>

namespace bergamothook {

/// The name of the stream that orders are agreed on.
inline constexpr const char *OrderStream = "orders";

enum class OrderRecordKind : std::uint16_t {
  Claim = 1,
  Moved,
  Result,
  NotRun,
  Unknown,
  IncarnationEnded,
  OperatorSettled,
};

/// Asks for the sole right to dispatch an order. The identifier of the record
/// is the identifier of the claim; the first claim in log order gets it.
struct OrderClaim {
  RequestId Request;
  TeamId Team;
  Hash128 BodyHash;
  TargetId Target;
  /// The wall clock of the claimant, in milliseconds since 1970.
  std::int64_t WrittenAt = 0;
  /// The date that the key itself carries, likewise; 0 where it carries none.
  std::int64_t KeyDate = 0;
  /// Set for a ticketed order: it may have been dispatched before this record.
  bool IsTicketed = false;
  /// The number of the caller's attempt; 0 where the caller does not say.
  std::uint32_t CallerAttempt = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Team, this->BodyHash, this->Target, this->WrittenAt,
       this->KeyDate, this->IsTicketed, this->CallerAttempt);
  }
};

/// Tells that the claimant went on to another target, because the one before
/// provably did not run the order.
struct OrderMoved {
  RequestId Request;
  RecordId Claim;
  TargetId Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim, this->Target);
  }
};

/// The answer of the target that ran the order.
struct OrderResult {
  RequestId Request;
  RecordId Claim;
  TargetId Target;
  std::uint16_t Status = 0;
  /// Unset when the answer was too long to be kept; Body is empty then.
  bool IsWhole = true;
  std::string ContentType;
  std::string Body;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim, this->Target, this->Status, this->IsWhole,
       this->ContentType, this->Body);
  }
};

/// Tells by the claimant that its claim was never dispatched and never will be,
/// or that no target ran it. The key may be claimed anew.
struct OrderNotRun {
  RequestId Request;
  RecordId Claim;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim);
  }
};

/// Tells by the claimant that it dispatched the order and got no answer.
struct OrderUnknown {
  RequestId Request;
  RecordId Claim;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim);
  }
};

/// Tells that a process is gone. Its open claims will get no result.
struct OrderIncarnationEnded {
  Incarnation Ended;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Ended); }
};

/// Settles an order whose outcome nobody knows, on an operator's word.
struct OrderSettled {
  RequestId Request;
  bool HasRun = false;
  std::string Operator;
  std::string Note;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->HasRun, this->Operator, this->Note);
  }
};

/// Encodes \p Body as the body of a record of the kind \p Kind.
template <typename Body>
StreamRecord makeOrderRecord(RecordId Id, Incarnation Writer,
                             OrderRecordKind Kind, const Body &Content);

/// Decodes the body of \p Record. OutcomeError::MalformedRecord for anything
/// that makeOrderRecord() did not make.
template <typename Body> Result<Body> readOrderRecord(const StreamRecord &From);

} // namespace bergamothook

#endif
