/// \file
/// Messages between hosts about where streams began. Every message may be lost,
/// delayed or duplicated.

#ifndef BERGAMOTHOOK_LIBRELAY_ORIGINMESSAGES_H
#define BERGAMOTHOOK_LIBRELAY_ORIGINMESSAGES_H

#include "LibPeer/PeerSessionManager.h"
#include "LibRelay/StreamOrigin.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

namespace bergamothook {

/// Message kinds in the protocol between hosts.
enum class OriginMessageKind : std::uint16_t {
  Report = FirstMessageKind + 128,
  Question,
  Answer,
};

/// Maximum length in bytes of the name of a service in a message.
constexpr std::size_t MaxServiceName = 256;
/// The origins that one datagram holds.
constexpr std::size_t MaxOriginsInReport = 32;

/// Tells a home where streams began.
struct OriginReport {
  std::vector<StreamOrigin> Origins;
  /// The home writes them to the log.
  bool IsForLog = false;

  bool isValid() const { return this->Origins.size() <= MaxOriginsInReport; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Origins, this->IsForLog);
  }
};

/// Asks a home where a stream began.
struct OriginQuestion {
  std::uint64_t Number = 0;
  Hash128 Stream;
  std::string Service;

  bool isValid() const { return this->Service.size() <= MaxServiceName; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Stream, this->Service);
  }
};

struct OriginAnswer {
  std::uint64_t Number = 0;
  /// Whether the home knows where the stream began.
  bool IsKnown = false;
  VersionId Version = AmbiguousVersion;
  /// The only version in use, if IsOnly. IsCurrent states that this is not out
  /// of date.
  bool IsOnly = false;
  bool IsCurrent = false;
  VersionId OnlyVersion = AmbiguousVersion;

  bool isValid() const { return true; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->IsKnown, this->Version, this->IsOnly,
       this->IsCurrent, this->OnlyVersion);
  }
};

} // namespace bergamothook

#endif
