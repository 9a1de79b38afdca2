/// \file
/// The messages by which hosts spread the configuration.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGMESSAGES_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGMESSAGES_H

#include "LibConfig/ConfigReplica.h"

namespace bergamothook {

/// The kinds of messages that belong to the configuration.
enum class ConfigMessageKind : std::uint16_t {
  Announcement = 32,
  Entries = 33,
  Request = 34,
  StateChunk = 35,
};

/// Tells how far a host is.
struct ConfigAnnouncement {
  ConfigPosition Position;
  /// Whether the sender serves by it.
  bool IsReady = false;
  /// Whether the receiver is to answer with its own position.
  bool WantsAnswer = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Position, this->IsReady, this->WantsAnswer);
  }
};

/// Entries of the stream, one after the other from \c From on.
struct ConfigEntries {
  Offset From;
  std::vector<std::string> Payloads;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Payloads);
  }
};

/// Asks for what follows \c From.
struct ConfigRequest {
  Offset From;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->From); }
};

/// A part of a whole state. The parts come in order over one connection.
struct ConfigStateChunk {
  /// The offset up to which the state covers the stream.
  Offset Next;
  std::uint32_t Index = 0;
  std::uint32_t Count = 0;
  std::string Bytes;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Next, this->Index, this->Count, this->Bytes);
  }
};

} // namespace bergamothook

#endif
