#include "LibRelay/EvacuatedDomains.h"

namespace bergamothook {

bool EvacuatedDomains::onRecord(const EvacuationRecord &Record) {
  if (Record.Offset < this->SnapshotEnd)
    return false;
  auto Found = this->Offsets.find(Record.Domain);
  bool WasEvacuated = Found != this->Offsets.end();
  const std::uint64_t *ReturnedAt = this->Returned.find(Record.Domain);
  if ((WasEvacuated && Record.Offset < Found->second) ||
      (ReturnedAt && Record.Offset < *ReturnedAt))
    return false;
  if (Record.IsEvacuated) {
    this->Offsets[Record.Domain] = Record.Offset;
  } else {
    this->Offsets.erase(Record.Domain);
    this->Returned.set(Record.Domain, Record.Offset);
  }
  return Record.IsEvacuated != WasEvacuated;
}

std::vector<EvacuationRecord>
EvacuatedDomains::onSnapshot(const std::vector<EvacuationRecord> &Evacuated,
                             std::uint64_t End) {
  this->SnapshotEnd = End;
  std::map<std::string, std::uint64_t> Next;
  for (const EvacuationRecord &Record : Evacuated)
    Next[Record.Domain] = Record.Offset;
  std::vector<EvacuationRecord> Changes;
  for (const auto &[Domain, Offset] : this->Offsets)
    if (!Next.contains(Domain))
      Changes.push_back({Domain, false, Offset});
  for (const auto &[Domain, Offset] : Next)
    if (!this->contains(Domain))
      Changes.push_back({Domain, true, Offset});
  this->Offsets = std::move(Next);
  this->Returned = RecentMap<std::string, std::uint64_t>(MaxReturnedDomains);
  return Changes;
}

} // namespace bergamothook
