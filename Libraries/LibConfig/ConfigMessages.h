/// \file
/// The messages that replicate the configuration between hosts.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGMESSAGES_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGMESSAGES_H

#include "LibConfig/ConfigReplica.h"

namespace bergamothook {

/// The message kinds of the configuration.
enum class ConfigMessageKind : std::uint16_t {
  Announcement = 32,
  Entries = 33,
  Request = 34,
  StateChunk = 35,
};

/// Announces the position of a host.
struct ConfigAnnouncement {
  ConfigPosition Position;
  /// Whether the sender is ready to serve requests.
  bool IsReady = false;
  /// Whether the receiver must respond with its own position.
  bool WantsResponse = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Position, this->IsReady, this->WantsResponse);
  }
};

/// Consecutive entries of the stream, starting at \c From.
struct ConfigEntries {
  Offset From;
  std::vector<std::string> Payloads;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Payloads);
  }
};

/// Requests the entries from \c From on.
struct ConfigRequest {
  Offset From;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->From); }
};

/// A chunk of an encoded state. The chunks are sent in order over one
/// connection.
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
