/// \file
/// What the processes of a fleet report to each other about requests that crash
/// targets.

#ifndef BERGAMOTHOOK_LIBRELAY_QUARANTINEREPORT_H
#define BERGAMOTHOOK_LIBRELAY_QUARANTINEREPORT_H

#include "LibBase/Time.h"
#include "LibRelay/RequestTraits.h"

#include <string>

namespace bergamothook {

enum class QuarantineReportKind : std::uint8_t {
  /// A target was lost before it began to answer a request.
  Loss,
  /// Targets answered requests with these traits.
  Cleared,
  /// Requests with a trait are no longer sent.
  Quarantined,
};

/// Maximum length in bytes of the name of a process.
constexpr std::size_t MaxProcessName = 255;

/// Hosts have no common clock, so times are given as ages.
struct QuarantineReport {
  QuarantineReportKind Kind = QuarantineReportKind::Loss;
  std::string Process;
  /// Tells the reports of one process apart.
  std::uint64_t Number = 0;
  /// Loss: the run of the target.
  std::uint64_t TargetRun = 0;
  std::uint64_t SentAgeMicroseconds = 0;
  std::uint64_t LostAgeMicroseconds = 0;
  /// Loss: the content of the request. Quarantined: the trait.
  Hash128 Subject;
  /// Loss: the suspected parts. Cleared: the traits. Quarantined: the traits
  /// that all crashed requests with the subject had too.
  std::vector<Hash128> Traits;
  /// Cleared: a trait was in quarantine.
  bool WasQuarantined = false;

  bool isValid() const {
    constexpr std::uint64_t MaxAgeMicroseconds = std::uint64_t{1} << 52;
    return this->Kind <= QuarantineReportKind::Quarantined &&
           this->Process.size() <= MaxProcessName &&
           this->SentAgeMicroseconds < MaxAgeMicroseconds &&
           this->LostAgeMicroseconds < MaxAgeMicroseconds &&
           this->Traits.size() <= MaxTraitParts;
  }

  bool operator==(const QuarantineReport &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Process, this->Number, this->TargetRun,
       this->SentAgeMicroseconds, this->LostAgeMicroseconds, this->Subject,
       this->Traits, this->WasQuarantined);
  }
};

} // namespace bergamothook

#endif
