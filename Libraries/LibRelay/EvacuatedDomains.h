/// \file
/// The failure domains that the operator has evacuated.

#ifndef BERGAMOTHOOK_LIBRELAY_EVACUATEDDOMAINS_H
#define BERGAMOTHOOK_LIBRELAY_EVACUATEDDOMAINS_H

#include "LibBase/RecentMap.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamothook {

/// The operator's newest record on one failure domain.
struct EvacuationRecord {
  std::string Domain;
  bool IsEvacuated = false;
  /// The position of the record in the operator's topic.
  std::uint64_t Offset = 0;
};

/// The evacuations that are in force, by the operator's records. Not
/// thread-safe.
class EvacuatedDomains {
public:
  /// Applies a later record. A record with a lower offset than the last one of
  /// its domain has no effect. \returns whether the domain is now evacuated and
  /// was not before, or the reverse.
  bool onRecord(const EvacuationRecord &Record);

  /// Replaces all evacuations by those that a snapshot of the topic lists; a
  /// domain that it lacks has been returned. Records before \p End have no
  /// effect from now on. Offsets are not compared with earlier ones, because
  /// the topic may have been restored from an older copy. \returns the domains
  /// whose state changed; the offset of a returned one is the offset of its
  /// evacuation.
  std::vector<EvacuationRecord>
  onSnapshot(const std::vector<EvacuationRecord> &Evacuated, std::uint64_t End);

  bool contains(const std::string &Domain) const {
    return this->Offsets.contains(Domain);
  }
  std::size_t size() const { return this->Offsets.size(); }

private:
  static constexpr std::size_t MaxReturnedDomains = 256;

  /// The offsets of the evacuations in force.
  std::map<std::string, std::uint64_t> Offsets;
  /// Where the records after the last snapshot begin.
  std::uint64_t SnapshotEnd = 0;
  /// The offsets at which domains were returned since then.
  RecentMap<std::string, std::uint64_t> Returned{MaxReturnedDomains};
};

} // namespace bergamothook

#endif
