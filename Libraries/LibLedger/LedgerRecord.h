/// \file
/// The bodies of the records in a ledger stream. The effect of a record depends
/// on its position in the stream and is determined by BudgetFold.

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

/// A number of tokens. Signed, so that negative terms can be detected.
using TokenCount = std::int64_t;

/// Maximum tokens of a budget, which rules out overflow in sums.
constexpr TokenCount MaxTokens = TokenCount{1} << 60;

/// The number of epoch marks in the stream so far. Identifiers remembered by
/// the fold expire by epochs, i.e. by the progress of the log, not by a clock.
using LedgerEpoch = std::uint32_t;

/// The peers that store the settlement notes of one slice. At least one of them
/// stores each witnessed note. A holder without a peer names itself.
struct WitnessPair {
  /// In another failure domain, if there is one.
  Incarnation First;
  /// In the failure domain of the holder, if there is one.
  Incarnation Second;

  auto operator<=>(const WitnessPair &) const = default;

  bool contains(const Incarnation &Peer) const {
    return this->First == Peer || this->Second == Peer;
  }

  /// \returns whether the pair names any host other than \p Holder.
  bool hasPeer(const Incarnation &Holder) const {
    return this->First != Holder || this->Second != Holder;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->First, this->Second);
  }
};

/// Adds prepaid tokens to a budget. Idempotent by the identifier of the record.
struct TopUp {
  TeamId Team;
  TokenCount Tokens = 0;
  /// The newest epoch that the operator's tool had read.
  LedgerEpoch Epoch = 0;
  std::string By;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Tokens, this->Epoch);
    detail::serializeText(Ar, this->By);
  }
};

/// Requests more tokens for the slice of the writer, and declares the witnesses
/// and the cap that the writer guarantees for that slice.
struct GrantRequest {
  TeamId Team;
  /// 1 for the first operation of this writer on this team, incremented for
  /// each further one. The fold only applies operations in this order.
  std::uint32_t Sequence = 0;
  TokenCount Tokens = 0;
  /// The smallest useful grant. If it can't be met, it stays as a demand that
  /// later returns and top-ups serve. 0 leaves no demand.
  TokenCount Minimum = 0;
  WitnessPair Witnesses;
  /// Upper bound on the tokens that the writer has reserved or spent while they
  /// are neither settled in the log nor acknowledged by a witness.
  TokenCount UnwitnessedCap = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Sequence, this->Tokens, this->Minimum, this->Witnesses,
       this->UnwitnessedCap);
  }
};

/// Bills a request. Only the first record for a request counts.
struct Settle {
  RequestId Request;
  TeamId Team;
  /// The holder whose slice is charged. Another writer may append the record.
  Incarnation Holder;
  TokenCount Tokens = 0;
  AttemptNumber Attempt;
  /// An epoch in which the holder's fold did not know the request as billed.
  LedgerEpoch Epoch = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Team, this->Holder, this->Tokens, this->Attempt,
       this->Epoch);
  }
};

/// Returns tokens of the writer's slice to the budget.
struct SliceReturn {
  TeamId Team;
  std::uint32_t Sequence = 0;
  TokenCount Tokens = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Sequence, this->Tokens);
  }
};

/// Evidence that an incarnation will never run again.
enum class EndEvidence : std::uint8_t {
  /// Written by the incarnation itself, after everything was settled.
  CleanShutdown = 1,
  /// A later process holds the same exclusive port on the same boot of the
  /// same machine.
  Successor,
  /// Stated by a named operator.
  Operator,
};

/// Ends an incarnation. Records that it writes later are void.
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

/// A witness of an ended holder reports how many tokens were reserved or spent,
/// according to its notes, and are not settled in the log.
struct WitnessReport {
  TeamId Team;
  Incarnation Holder;
  TokenCount Open = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Holder, this->Open);
  }
};

/// An operator closes the slice of an ended holder: \p Spent tokens count as
/// settled, and the rest returns to the budget.
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

/// Stops grants from a budget. Tokens in slices can still be settled.
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

/// Encodes \p Body as a stream record.
StreamRecord makeLedgerRecord(RecordId Id, Incarnation Writer,
                              const LedgerBody &Body);

/// Decodes a record made by makeLedgerRecord(). \returns LedgerError::Malformed
/// for anything else.
Result<LedgerBody> decodeLedgerBody(const StreamRecord &Record);

/// \returns the identifier of the settlement of \p Request by \p Holder. It
/// does not depend on the writer of the record.
RecordId settleRecordId(RequestId Request, Incarnation Holder,
                        LedgerEpoch Epoch);

/// \returns the name of the stream with the budget of \p Team, out of
/// \p ShardCount streams.
std::string ledgerStreamOf(TeamId Team, std::uint32_t ShardCount);

/// \returns the name of the stream of shard \p Shard.
std::string ledgerStreamName(std::uint32_t Shard);

/// \returns the shard of \p Team, from 0 to \p ShardCount - 1.
std::uint32_t ledgerShardOf(TeamId Team, std::uint32_t ShardCount);

} // namespace bergamothook

#endif
