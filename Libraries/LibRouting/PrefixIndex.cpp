#include "LibRouting/PrefixIndex.h"

#include <algorithm>
#include <bit>

namespace bergamothook {

namespace {

constexpr std::uint32_t SlotBits = 20;
constexpr std::uint32_t SlotMask = (1U << SlotBits) - 1;

} // namespace

PrefixIndex::PrefixIndex(std::size_t Capacity)
    : Entries(std::bit_ceil(std::max(Capacity, EntriesPerSet))),
      SetMask(Entries.size() / EntriesPerSet - 1) {}

bool PrefixIndex::apply(TargetTable::Slot SlotIndex, const CacheEvent &Event) {
  CacheState &State = this->cacheStateOf(SlotIndex);
  if (Event.Sequence <= State.LastSequence)
    return true;
  bool IsNext = Event.Sequence == State.LastSequence + 1;
  if (!IsNext)
    State.HasGap = true;
  State.LastSequence = Event.Sequence;
  if (Event.IsStored)
    this->addHolder(SlotIndex, Event.Block);
  else
    this->removeHolder(SlotIndex, Event.Block);
  return IsNext;
}

void PrefixIndex::reset(TargetTable::Slot SlotIndex) {
  this->invalidate(SlotIndex);
  CacheState &State = this->cacheStateOf(SlotIndex);
  State.LastSequence = 0;
  State.HasGap = false;
}

void PrefixIndex::resynchronise(TargetTable::Slot SlotIndex,
                                std::uint64_t Sequence,
                                std::span<const PrefixHash> Blocks) {
  if (Sequence < this->cacheStateOf(SlotIndex).LastSequence)
    return;
  this->invalidate(SlotIndex);
  for (PrefixHash Block : Blocks)
    this->addHolder(SlotIndex, Block);
  CacheState &State = this->cacheStateOf(SlotIndex);
  State.LastSequence = Sequence;
  State.HasGap = false;
}

std::uint64_t PrefixIndex::lastSequence(TargetTable::Slot SlotIndex) const {
  return SlotIndex < this->CacheStates.size()
             ? this->CacheStates[SlotIndex].LastSequence
             : 0;
}

std::vector<TargetTable::Slot> PrefixIndex::slotsWithGaps() const {
  std::vector<TargetTable::Slot> SlotIndices;
  for (std::size_t I = 0; I < this->CacheStates.size(); ++I)
    if (this->CacheStates[I].HasGap)
      SlotIndices.push_back(static_cast<TargetTable::Slot>(I));
  return SlotIndices;
}

void PrefixIndex::addExpected(TargetTable::Slot SlotIndex,
                              std::span<const PrefixHash> Blocks) {
  this->cacheStateOf(SlotIndex);
  for (PrefixHash Block : Blocks)
    this->addHolder(SlotIndex, Block);
}

void PrefixIndex::removeMissing(TargetTable::Slot SlotIndex,
                                std::span<const PrefixHash> Blocks,
                                std::size_t Held) {
  for (std::size_t I = Held; I < Blocks.size(); ++I)
    this->removeHolder(SlotIndex, Blocks[I]);
}

std::vector<PrefixHolder>
PrefixIndex::find(std::span<const PrefixHash> Blocks) {
  std::vector<PrefixHolder> Found;
  for (std::size_t I = Blocks.size(); I > 0; --I) {
    Entry *Prefix = this->lookUp(Blocks[I - 1]);
    if (!Prefix)
      continue;
    Prefix->LastUse = ++this->UseCounter;
    for (Holder Value : Prefix->Holders) {
      if (!this->isCurrent(Value) || Found.size() == HoldersPerEntry)
        continue;
      TargetTable::Slot SlotIndex = Value & SlotMask;
      bool IsKnown = std::any_of(Found.begin(), Found.end(),
                                 [&](const PrefixHolder &Other) {
                                   return Other.SlotIndex == SlotIndex;
                                 });
      if (!IsKnown)
        Found.push_back({SlotIndex, static_cast<std::uint32_t>(I),
                         this->CacheStates[SlotIndex].HasGap});
    }
  }
  return Found;
}

std::uint32_t PrefixIndex::covered(TargetTable::Slot SlotIndex,
                                   std::span<const PrefixHash> Blocks) const {
  if (SlotIndex >= this->CacheStates.size())
    return 0;
  for (std::size_t I = Blocks.size(); I > 0; --I) {
    const Entry *Prefix = this->lookUp(Blocks[I - 1]);
    if (Prefix && this->holds(*Prefix, SlotIndex))
      return static_cast<std::uint32_t>(I);
  }
  return 0;
}

std::size_t PrefixIndex::bytes() const {
  return this->Entries.capacity() * sizeof(Entry) +
         this->CacheStates.capacity() * sizeof(CacheState);
}

PrefixIndex::CacheState &
PrefixIndex::cacheStateOf(TargetTable::Slot SlotIndex) {
  if (SlotIndex >= this->CacheStates.size())
    this->CacheStates.resize(SlotIndex + 1);
  return this->CacheStates[SlotIndex];
}

bool PrefixIndex::isCurrent(Holder Value) const {
  std::uint32_t Generation = Value >> SlotBits;
  return Generation != 0 &&
         Generation == this->CacheStates[Value & SlotMask].Generation;
}

PrefixIndex::Holder PrefixIndex::holderOf(TargetTable::Slot SlotIndex) const {
  std::uint32_t Generation = this->CacheStates[SlotIndex].Generation;
  return (Generation << SlotBits) | SlotIndex;
}

PrefixIndex::Entry *PrefixIndex::lookUp(PrefixHash Block) {
  return const_cast<Entry *>(std::as_const(*this).lookUp(Block));
}

const PrefixIndex::Entry *PrefixIndex::lookUp(PrefixHash Block) const {
  std::size_t First = (Block & this->SetMask) * EntriesPerSet;
  for (std::size_t I = First; I < First + EntriesPerSet; ++I)
    if (this->Entries[I].Block == Block)
      return &this->Entries[I];
  return nullptr;
}

void PrefixIndex::addHolder(TargetTable::Slot SlotIndex, PrefixHash Block) {
  Entry *Prefix = this->lookUp(Block);
  if (!Prefix) {
    auto First =
        this->Entries.begin() +
        static_cast<std::ptrdiff_t>((Block & this->SetMask) * EntriesPerSet);
    Prefix = &*std::min_element(
        First, First + EntriesPerSet,
        [](const Entry &A, const Entry &B) { return A.LastUse < B.LastUse; });
    if (Prefix->LastUse == 0)
      ++this->UsedEntries;
    *Prefix = Entry();
    Prefix->Block = Block;
  }
  Prefix->LastUse = ++this->UseCounter;
  if (this->holds(*Prefix, SlotIndex))
    return;
  auto Free =
      std::find_if(Prefix->Holders.begin(), Prefix->Holders.end(),
                   [this](Holder Value) { return !this->isCurrent(Value); });
  if (Free == Prefix->Holders.end()) {
    std::rotate(Prefix->Holders.begin(), Prefix->Holders.begin() + 1,
                Prefix->Holders.end());
    Free = Prefix->Holders.end() - 1;
  }
  *Free = this->holderOf(SlotIndex);
}

void PrefixIndex::removeHolder(TargetTable::Slot SlotIndex, PrefixHash Block) {
  Entry *Prefix = this->lookUp(Block);
  if (!Prefix)
    return;
  std::replace(Prefix->Holders.begin(), Prefix->Holders.end(),
               this->holderOf(SlotIndex), Holder{0});
}

void PrefixIndex::invalidate(TargetTable::Slot SlotIndex) {
  CacheState &State = this->cacheStateOf(SlotIndex);
  State.Generation = static_cast<std::uint8_t>(State.Generation + 1);
  if (State.Generation != 0)
    return;
  // The 8-bit generation wrapped around: clear the target's old holders, which
  // could otherwise appear current again.
  State.Generation = 1;
  for (Entry &Prefix : this->Entries)
    for (Holder &Value : Prefix.Holders)
      if ((Value & SlotMask) == SlotIndex)
        Value = 0;
}

bool PrefixIndex::holds(const Entry &Prefix,
                        TargetTable::Slot SlotIndex) const {
  Holder Expected = this->holderOf(SlotIndex);
  return std::find(Prefix.Holders.begin(), Prefix.Holders.end(), Expected) !=
         Prefix.Holders.end();
}

} // namespace bergamothook
