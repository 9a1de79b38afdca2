/// \file
/// The records of the stream "orders". The envelope of a record names its
/// writer.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERRECORD_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERRECORD_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibOutcome/OutcomeError.h"
#include "LibStream/StreamRecord.h"

#include <cstdint>
#include <string>

namespace bergamothook {

/// The name of the stream on which hosts agree on orders.
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

/// Claims the exclusive right to dispatch an order. The identifier of the
/// record is the identifier of the claim; the first claim in log order wins.
struct OrderClaim {
  RequestId Request;
  TeamId Team;
  Hash128 BodyHash;
  TargetId Target;
  /// The claimant's wall clock time, in milliseconds since 1970.
  std::int64_t WrittenAt = 0;
  /// The date in the key, in milliseconds since 1970; 0 if it has none.
  std::int64_t KeyDate = 0;
  /// Set for an order with a ticket: it may have been dispatched before this
  /// record was written.
  bool IsTicketed = false;
  /// The number of the caller's attempt; 0 if not stated.
  std::uint32_t CallerAttempt = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Team, this->BodyHash, this->Target, this->WrittenAt,
       this->KeyDate, this->IsTicketed, this->CallerAttempt);
  }
};

/// Reports that the claimant retries on another target, because the previous
/// one provably did not run the order.
struct OrderMoved {
  RequestId Request;
  RecordId Claim;
  TargetId Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim, this->Target);
  }
};

/// The response of the target that ran the order.
struct OrderResult {
  RequestId Request;
  RecordId Claim;
  TargetId Target;
  std::uint16_t Status = 0;
  /// Unset if the response was too long to store; Body is empty then.
  bool IsWhole = true;
  std::string ContentType;
  std::string Body;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim, this->Target, this->Status, this->IsWhole,
       this->ContentType, this->Body);
  }
};

/// Reports that the claim was never dispatched and never will be, or that no
/// target ran the order. Written by the claimant. The key may be claimed again.
struct OrderNotRun {
  RequestId Request;
  RecordId Claim;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim);
  }
};

/// Reports that the order was dispatched and no response arrived. Written by
/// the claimant.
struct OrderUnknown {
  RequestId Request;
  RecordId Claim;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Claim);
  }
};

/// Reports that a process has ended. Its open claims will get no result.
struct OrderIncarnationEnded {
  Incarnation Ended;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Ended); }
};

/// Records an operator's decision about an order whose outcome is unknown.
struct OrderSettled {
  RequestId Request;
  bool HasRun = false;
  std::string Operator;
  std::string Note;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->HasRun, this->Operator, this->Note);
  }
};

/// Encodes \p Content as the body of a record of the kind \p Kind.
template <typename Body>
StreamRecord makeOrderRecord(RecordId Id, Incarnation Writer,
                             OrderRecordKind Kind, const Body &Content);

/// Decodes the body of a record. Fails with OutcomeError::MalformedRecord if
/// makeOrderRecord() did not write it.
template <typename Body> Result<Body> readOrderRecord(const StreamRecord &From);

} // namespace bergamothook

#endif
