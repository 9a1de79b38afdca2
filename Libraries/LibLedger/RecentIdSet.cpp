#include "LibLedger/RecentIdSet.h"

namespace bergamothook {

namespace {

constexpr std::size_t InitialSlots = 16;

/// The value of an empty slot. storable() maps an all-zero identifier to
/// another value, so that it never collides with this one.
constexpr Hash128 EmptySlot{};

Hash128 storable(const Hash128 &Id) {
  return Id == EmptySlot ? Hash128{0, 1} : Id;
}

std::uint64_t mix(const Hash128 &Id) {
  return (Id.High ^ Id.Low * 0x9e3779b97f4a7c15ULL) * 0xbf58476d1ce4e5b9ULL;
}

} // namespace

std::size_t RecentIdSet::Table::slotOf(const Hash128 &Id) const {
  std::size_t Mask = this->Slots.size() - 1;
  std::size_t At = (mix(Id) >> 20) & Mask;
  while (this->Slots[At] != EmptySlot && this->Slots[At] != Id)
    At = (At + 1) & Mask;
  return At;
}

bool RecentIdSet::Table::contains(const Hash128 &Id) const {
  return this->Count != 0 && this->Slots[this->slotOf(Id)] == Id;
}

bool RecentIdSet::Table::insert(const Hash128 &Id) {
  if ((this->Count + 1) * 4 > this->Slots.size() * 3)
    this->grow();
  Hash128 &Slot = this->Slots[this->slotOf(Id)];
  if (Slot == Id)
    return false;
  Slot = Id;
  ++this->Count;
  return true;
}

void RecentIdSet::Table::grow() {
  std::vector<Hash128> Old = std::move(this->Slots);
  this->Slots.assign(Old.empty() ? InitialSlots : Old.size() * 2, EmptySlot);
  for (const auto &Id : Old)
    if (Id != EmptySlot)
      this->Slots[this->slotOf(Id)] = Id;
}

std::vector<Hash128> RecentIdSet::Table::list() const {
  std::vector<Hash128> All;
  All.reserve(this->Count);
  for (const auto &Id : this->Slots)
    if (Id != EmptySlot)
      All.push_back(Id);
  return All;
}

bool RecentIdSet::contains(const Hash128 &Id) const {
  Hash128 Stored = storable(Id);
  return this->Current.contains(Stored) || this->Previous.contains(Stored);
}

bool RecentIdSet::insert(const Hash128 &Id) {
  Hash128 Stored = storable(Id);
  if (this->Previous.contains(Stored))
    return false;
  return this->Current.insert(Stored);
}

void RecentIdSet::rotate() {
  this->Previous = std::move(this->Current);
  this->Current = Table{};
}

std::size_t RecentIdSet::bytes() const {
  return (this->Current.Slots.capacity() + this->Previous.Slots.capacity()) *
         sizeof(Hash128);
}

std::uint64_t RecentIdSet::digest() const {
  std::uint64_t Sum = 0;
  for (const auto &Id : this->Current.Slots)
    Sum += mix(Id);
  for (const auto &Id : this->Previous.Slots)
    Sum += mix(Id) * 3;
  return Sum;
}

} // namespace bergamothook
