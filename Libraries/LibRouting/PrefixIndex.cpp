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

bool PrefixIndex::apply(TargetTable::Slot Place, const CacheEvent &Event) {
  Source &From = this->source(Place);
  if (Event.Sequence <= From.LastSequence)
    return true;
  bool IsNext = Event.Sequence == From.LastSequence + 1;
  if (!IsNext)
    From.HasGap = true;
  From.LastSequence = Event.Sequence;
  if (Event.IsStored)
    this->add(Place, Event.Block);
  else
    this->drop(Place, Event.Block);
  return IsNext;
}

void PrefixIndex::reset(TargetTable::Slot Place) {
  this->forget(Place);
  Source &From = this->source(Place);
  From.LastSequence = 0;
  From.HasGap = false;
}

void PrefixIndex::resynchronise(TargetTable::Slot Place, std::uint64_t Sequence,
                                std::span<const PrefixHash> Blocks) {
  if (Sequence < this->source(Place).LastSequence)
    return;
  this->forget(Place);
  for (PrefixHash Block : Blocks)
    this->add(Place, Block);
  Source &From = this->source(Place);
  From.LastSequence = Sequence;
  From.HasGap = false;
}

std::uint64_t PrefixIndex::lastSequence(TargetTable::Slot Place) const {
  return Place < this->Sources.size() ? this->Sources[Place].LastSequence : 0;
}

std::vector<TargetTable::Slot> PrefixIndex::gaps() const {
  std::vector<TargetTable::Slot> Places;
  for (std::size_t I = 0; I < this->Sources.size(); ++I)
    if (this->Sources[I].HasGap)
      Places.push_back(static_cast<TargetTable::Slot>(I));
  return Places;
}

void PrefixIndex::expect(TargetTable::Slot Place,
                         std::span<const PrefixHash> Blocks) {
  this->source(Place);
  for (PrefixHash Block : Blocks)
    this->add(Place, Block);
}

void PrefixIndex::correct(TargetTable::Slot Place,
                          std::span<const PrefixHash> Blocks,
                          std::size_t Held) {
  for (std::size_t I = Held; I < Blocks.size(); ++I)
    this->drop(Place, Blocks[I]);
}

std::vector<PrefixHolder>
PrefixIndex::find(std::span<const PrefixHash> Blocks) {
  std::vector<PrefixHolder> Found;
  for (std::size_t I = Blocks.size(); I > 0; --I) {
    Entry *Prefix = this->lookUp(Blocks[I - 1]);
    if (!Prefix)
      continue;
    Prefix->LastUse = ++this->Clock;
    for (Holder Value : Prefix->Holders) {
      if (!this->isCurrent(Value) || Found.size() == HoldersPerEntry)
        continue;
      TargetTable::Slot Place = Value & SlotMask;
      bool IsKnown = std::any_of(
          Found.begin(), Found.end(),
          [&](const PrefixHolder &Other) { return Other.Place == Place; });
      if (!IsKnown)
        Found.push_back({Place, static_cast<std::uint32_t>(I),
                         this->Sources[Place].HasGap});
    }
  }
  return Found;
}

std::uint32_t PrefixIndex::covered(TargetTable::Slot Place,
                                   std::span<const PrefixHash> Blocks) const {
  if (Place >= this->Sources.size())
    return 0;
  for (std::size_t I = Blocks.size(); I > 0; --I) {
    const Entry *Prefix = this->lookUp(Blocks[I - 1]);
    if (Prefix && this->holds(*Prefix, Place))
      return static_cast<std::uint32_t>(I);
  }
  return 0;
}

std::size_t PrefixIndex::bytes() const {
  return this->Entries.capacity() * sizeof(Entry) +
         this->Sources.capacity() * sizeof(Source);
}

PrefixIndex::Source &PrefixIndex::source(TargetTable::Slot Place) {
  if (Place >= this->Sources.size())
    this->Sources.resize(Place + 1);
  return this->Sources[Place];
}

bool PrefixIndex::isCurrent(Holder Value) const {
  std::uint32_t Generation = Value >> SlotBits;
  return Generation != 0 &&
         Generation == this->Sources[Value & SlotMask].Generation;
}

PrefixIndex::Holder PrefixIndex::holderOf(TargetTable::Slot Place) const {
  std::uint32_t Generation = this->Sources[Place].Generation;
  return (Generation << SlotBits) | Place;
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

void PrefixIndex::add(TargetTable::Slot Place, PrefixHash Block) {
  Entry *Prefix = this->lookUp(Block);
  if (!Prefix) {
    auto First =
        this->Entries.begin() +
        static_cast<std::ptrdiff_t>((Block & this->SetMask) * EntriesPerSet);
    Prefix = &*std::min_element(
        First, First + EntriesPerSet,
        [](const Entry &A, const Entry &B) { return A.LastUse < B.LastUse; });
    if (Prefix->LastUse == 0)
      ++this->Used;
    *Prefix = Entry();
    Prefix->Block = Block;
  }
  Prefix->LastUse = ++this->Clock;
  if (this->holds(*Prefix, Place))
    return;
  auto Free =
      std::find_if(Prefix->Holders.begin(), Prefix->Holders.end(),
                   [this](Holder Value) { return !this->isCurrent(Value); });
  if (Free == Prefix->Holders.end()) {
    std::rotate(Prefix->Holders.begin(), Prefix->Holders.begin() + 1,
                Prefix->Holders.end());
    Free = Prefix->Holders.end() - 1;
  }
  *Free = this->holderOf(Place);
}

void PrefixIndex::drop(TargetTable::Slot Place, PrefixHash Block) {
  Entry *Prefix = this->lookUp(Block);
  if (!Prefix)
    return;
  std::replace(Prefix->Holders.begin(), Prefix->Holders.end(),
               this->holderOf(Place), Holder{0});
}

void PrefixIndex::forget(TargetTable::Slot Place) {
  Source &From = this->source(Place);
  From.Generation = static_cast<std::uint8_t>(From.Generation + 1);
  if (From.Generation != 0)
    return;
  // After 255 generations an old holder could look current again.
  From.Generation = 1;
  for (Entry &Prefix : this->Entries)
    for (Holder &Value : Prefix.Holders)
      if ((Value & SlotMask) == Place)
        Value = 0;
}

bool PrefixIndex::holds(const Entry &Prefix, TargetTable::Slot Place) const {
  Holder Wanted = this->holderOf(Place);
  return std::find(Prefix.Holders.begin(), Prefix.Holders.end(), Wanted) !=
         Prefix.Holders.end();
}

} // namespace bergamothook
