/// \file
/// Messages between a slice holder and its witnesses.

#ifndef BERGAMOTHOOK_LIBLEDGER_SETTLEMENTNOTE_H
#define BERGAMOTHOOK_LIBLEDGER_SETTLEMENTNOTE_H

#include "LibLedger/LedgerRecord.h"

namespace bergamothook {

/// The number of a reservation, starting at 1, unique within its incarnation.
using ReservationId = StrongId<struct ReservationTag>;

enum class NoteKind : std::uint8_t {
  /// The reservation is open; \p Tokens is its worst case.
  Opened = 1,
  /// The request is billed \p Tokens, but the log may not have the settlement
  /// yet.
  Settled,
  /// The reservation spent nothing, or its settlement is in the log.
  Closed,
};

/// The state of one reservation. Of two notes for the same reservation, the one
/// with the greater kind is newer.
struct SettlementNote {
  NoteKind Kind = NoteKind::Opened;
  Incarnation Holder;
  ReservationId Reservation;
  /// All reservations below this one are closed.
  ReservationId LowestOpen;
  RequestId Request;
  TeamId Team;
  TokenCount Tokens = 0;
  AttemptNumber Attempt;
  LedgerEpoch Epoch = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    detail::serializeEnum(Ar, this->Kind);
    Ar(this->Holder, this->Reservation, this->LowestOpen, this->Request,
       this->Team, this->Tokens, this->Attempt, this->Epoch);
  }
};

/// Response of a witness that stores the note.
struct NoteAcknowledgement {
  Incarnation Witness;
  ReservationId Reservation;
  NoteKind Kind = NoteKind::Opened;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Witness, this->Reservation);
    detail::serializeEnum(Ar, this->Kind);
  }
};

} // namespace bergamothook

#endif
