/// \file
/// The bodies of the records in a ledger stream. What a record means follows
/// from its place in the stream; BudgetFold decides it.

#ifndef BERGAMOTHOOK_LIBLEDGER_LEDGERRECORD_H
#define BERGAMOTHOOK_LIBLEDGER_LEDGERRECORD_H

#include "LibBase/Ids.h"
#include "LibLedger/Detail/Fields.h"
#include "LibLedger/LedgerError.h"
#include "LibStream/StreamRecord.h"

#include <cstdint>
#include <string>
#include <variant>

namespace bergamothook {

/// A number of tokens. Signed, so that a term below zero can be seen.
using TokenCount = std::int64_t;

/// The most tokens that a budget ever takes, so that no sum overflows.
constexpr TokenCount MostTokens = TokenCount{1} << 60;

/// The number of marks that the stream has passed. It ages what the fold
/// remembers, by the log's progress instead of by any clock.
using LedgerEpoch = std::uint32_t;

/// The peers that hold the notes of one slice. Each note is held by at least
/// one of them. A holder without a peer names itself.
struct WitnessPair {
  /// In another failure domain, if there is one.
  Incarnation First;
  /// In the failure domain of the holder, if there is one.
  Incarnation Second;

  auto operator<=>(const WitnessPair &) const = default;

  bool contains(const Incarnation &Peer) const {
    return this->First == Peer || this->Second == Peer;
  }

  /// Tells whether the pair names any peer of \p Holder.
  bool hasPeer(const Incarnation &Holder) const {
    return this->First != Holder || this->Second != Holder;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->First, this->Second);
  }
};

/// Adds prepaid tokens to a budget. The identifier of the record makes it
/// count once.
struct TopUp {
  TeamId Team;
  TokenCount Tokens = 0;
  /// The epoch that the operator's tool had read up to.
  LedgerEpoch Epoch = 0;
  std::string By;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Tokens, this->Epoch);
    detail::serializeText(Ar, this->By);
  }
};

/// Asks for more tokens in the slice of the writer, and states the promise
/// under which the slice is held.
struct GrantRequest {
  TeamId Team;
  /// 1 for the first operation of this writer on this team, then one more for
  /// each. The fold takes them in this order only.
  std::uint32_t Sequence = 0;
  TokenCount Tokens = 0;
  /// The least that helps the writer. Unmet, it stays as a demand which later
  /// returns and top-ups serve. 0: no demand is left behind.
  TokenCount Minimum = 0;
  WitnessPair Witnesses;
  /// The most tokens that the writer ever has reserved or spent, and neither
  /// settled in the log nor acknowledged by a witness.
  TokenCount UnwitnessedCap = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Sequence, this->Tokens, this->Minimum, this->Witnesses,
       this->UnwitnessedCap);
  }
};

/// Bills a request. Of all records for one request, the first counts.
struct Settle {
  RequestId Request;
  TeamId Team;
  /// Whose slice pays. Another writer may carry the record to the log.
  Incarnation Holder;
  TokenCount Tokens = 0;
  AttemptNumber Attempt;
  /// An epoch at which the holder's fold did not know the request as billed.
  LedgerEpoch Epoch = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Team, this->Holder, this->Tokens, this->Attempt,
       this->Epoch);
  }
};

/// Hands tokens of the writer's slice back to the budget.
struct SliceReturn {
  TeamId Team;
  std::uint32_t Sequence = 0;
  TokenCount Tokens = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Sequence, this->Tokens);
  }
};

/// How it is known that an incarnation will never run again.
enum class EndEvidence : std::uint8_t {
  /// The incarnation itself says so, with everything of it settled.
  Farewell = 1,
  /// A later process holds the same exclusive port on the same boot of the
  /// same machine.
  Successor,
  /// An operator says so, under his name.
  Operator,
};

/// Ends an incarnation: later records that it writes are void.
struct IncarnationEnded {
  Incarnation Ended;
  EndEvidence Evidence = EndEvidence::Operator;
  std::string By;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Ended);
    detail::serializeEnum(Ar, this->Evidence);
    detail::serializeText(Ar, this->By);
  }
};

/// A witness of an ended holder says how many tokens it knows of that were
/// reserved or spent and are not settled in the log.
struct WitnessReport {
  TeamId Team;
  Incarnation Holder;
  TokenCount Open = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Holder, this->Open);
  }
};

/// An operator closes the slice of an ended holder: \p Spent tokens count as
/// settled, the rest goes back to the budget.
struct WriteBack {
  TeamId Team;
  Incarnation Holder;
  TokenCount Spent = 0;
  std::string By;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Holder, this->Spent);
    detail::serializeText(Ar, this->By);
  }
};

/// Ends grants from a budget. What is in slices can still be settled.
struct CloseBudget {
  TeamId Team;
  std::string By;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team);
    detail::serializeText(Ar, this->By);
  }
};

/// Moves the stream into epoch \p Epoch, if it is in the epoch before.
struct EpochMark {
  LedgerEpoch Epoch = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Epoch); }
};

using LedgerBody =
    std::variant<TopUp, GrantRequest, Settle, SliceReturn, IncarnationEnded,
                 WitnessReport, WriteBack, CloseBudget, EpochMark>;

/// Puts \p Body into the envelope of a stream record.
StreamRecord makeLedgerRecord(RecordId Id, Incarnation Writer,
                              const LedgerBody &Body);

/// Decodes what makeLedgerRecord() made. LedgerError::Malformed otherwise.
Result<LedgerBody> decodeLedgerBody(const StreamRecord &Record);

/// The identifier of the settlement of \p Request by \p Holder: the same
/// whoever carries it to the log.
RecordId settleRecordId(RequestId Request, Incarnation Holder,
                        LedgerEpoch Epoch);

/// The stream that holds the budget of \p Team, of \p ShardCount streams.
std::string ledgerStreamOf(TeamId Team, std::uint32_t ShardCount);

/// The stream of shard \p Shard.
std::string ledgerStreamName(std::uint32_t Shard);

/// The shard of \p Team, from 0 to \p ShardCount - 1.
std::uint32_t ledgerShardOf(TeamId Team, std::uint32_t ShardCount);

} // namespace bergamothook

#endif
