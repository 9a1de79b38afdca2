#include "LibLedger/BudgetFold.h"
#include "LibLedger/MemoryStream.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace bergamothook {

namespace {

constexpr std::uint8_t SnapshotVersion = 1;

constexpr std::uint64_t combine(std::uint64_t Sum, std::uint64_t Word) {
  Sum = (Sum ^ Word) * 0x9e3779b97f4a7c15ULL;
  return Sum ^ (Sum >> 29);
}

/// Reads a count. Throws if it exceeds \p MaxCount, so that a corrupted count
/// can't cause a large allocation.
template <typename Archive>
std::uint32_t readCount(Archive &Ar, std::size_t MaxCount) {
  std::uint32_t Count = 0;
  Ar(Count);
  if (Count > MaxCount)
    throw cereal::Exception("count exceeds the snapshot");
  return Count;
}

/// Reads a flag. Throws for any value but 0 and 1.
template <typename Archive> bool readFlag(Archive &Ar) {
  std::uint8_t Value = 0;
  Ar(Value);
  if (Value > 1)
    throw cereal::Exception("flag out of range");
  return Value == 1;
}

/// Throws for terms outside of the range of a budget, which rules out overflow
/// in sums.
void checkRange(std::initializer_list<TokenCount> Terms) {
  for (TokenCount Term : Terms)
    if (Term < 0 || Term > MaxTokens)
      throw cereal::Exception("term out of range");
}

template <typename Archive>
void writeIds(Archive &Ar, const std::vector<Hash128> &Ids) {
  Ar(static_cast<std::uint32_t>(Ids.size()));
  for (const auto &Id : Ids)
    Ar(Id);
}

} // namespace

std::string BudgetFold::snapshot() const {
  std::ostringstream Out;
  cereal::PortableBinaryOutputArchive Ar(
      Out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  Ar(SnapshotVersion, this->MemoryEpochs, this->Epoch, this->HasPosition);
  Ar(this->Position.At, this->Position.Index, this->NextDemandOrder);
  Ar(static_cast<std::uint32_t>(this->Holders.size()));
  for (const auto &Found : this->Holders)
    Ar(Found.Id, Found.IsEnded);
  Ar(static_cast<std::uint32_t>(this->Budgets.size()));
  for (const auto &Owner : this->Budgets) {
    std::uint32_t Count = 0;
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next)
      ++Count;
    Ar(Owner.Team, Owner.ToppedUp, Owner.Settled, Owner.Unallocated,
       Owner.IsClosed, Count);
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next) {
      const Slice &Entry = this->Slices[At];
      Ar(Entry.Holder, Entry.FirstWitness, Entry.SecondWitness, Entry.Sequence,
         Entry.Outstanding, Entry.UnwitnessedCap, Entry.Demand,
         Entry.DemandOrder, Entry.FirstReport, Entry.SecondReport);
    }
  }
  writeIds(Ar, this->Memory.previous());
  writeIds(Ar, this->Memory.current());
  return std::move(Out).str();
}

Result<void> BudgetFold::restore(std::string_view Snapshot) {
  detail::MemoryStream In(Snapshot);
  BudgetFold Loaded(this->MemoryEpochs);
  try {
    cereal::PortableBinaryInputArchive Ar(In.Stream);
    Loaded.load(Ar, Snapshot.size());
  } catch (const cereal::Exception &) {
    return LedgerError::Malformed;
  }
  if (!In.isAtEnd() || Loaded.MemoryEpochs != this->MemoryEpochs ||
      !Loaded.verify().empty())
    return LedgerError::Malformed;
  Loaded.Counters = this->Counters;
  *this = std::move(Loaded);
  return success();
}

template <typename Archive>
void BudgetFold::load(Archive &Ar, std::size_t Size) {
  std::uint8_t Version = 0;
  Ar(Version);
  if (Version != SnapshotVersion)
    throw cereal::Exception("unknown version of the snapshot");
  Ar(this->MemoryEpochs, this->Epoch);
  this->HasPosition = readFlag(Ar);
  Ar(this->Position.At, this->Position.Index, this->NextDemandOrder);
  std::uint32_t HolderCount = readCount(Ar, Size);
  for (std::uint32_t Count = 0; Count < HolderCount; ++Count) {
    Holder Found;
    Ar(Found.Id);
    Found.IsEnded = readFlag(Ar);
    this->HolderIndex.emplace(Found.Id, Count);
    this->Holders.push_back(Found);
  }
  std::uint32_t BudgetCount = readCount(Ar, Size);
  this->Budgets.reserve(BudgetCount);
  this->TeamIndex.reserve(BudgetCount);
  for (std::uint32_t Count = 0; Count < BudgetCount; ++Count)
    this->loadBudget(Ar, Size);
  for (std::uint32_t Left = readCount(Ar, Size); Left != 0; --Left) {
    Hash128 Id;
    Ar(Id);
    this->Memory.insertIntoPrevious(Id);
  }
  for (std::uint32_t Left = readCount(Ar, Size); Left != 0; --Left) {
    Hash128 Id;
    Ar(Id);
    this->Memory.insert(Id);
  }
}

template <typename Archive>
void BudgetFold::loadBudget(Archive &Ar, std::size_t Size) {
  Budget Owner;
  Ar(Owner.Team, Owner.ToppedUp, Owner.Settled, Owner.Unallocated);
  Owner.IsClosed = readFlag(Ar);
  checkRange({Owner.ToppedUp, Owner.Settled, Owner.Unallocated});
  std::uint32_t SliceCount = readCount(Ar, Size);
  Index Last = None;
  for (std::uint32_t Count = 0; Count < SliceCount; ++Count) {
    Slice Entry;
    Ar(Entry.Holder, Entry.FirstWitness, Entry.SecondWitness, Entry.Sequence,
       Entry.Outstanding, Entry.UnwitnessedCap, Entry.Demand, Entry.DemandOrder,
       Entry.FirstReport, Entry.SecondReport);
    if (Entry.Holder >= this->Holders.size() ||
        Entry.FirstWitness >= this->Holders.size() ||
        Entry.SecondWitness >= this->Holders.size())
      throw cereal::Exception("slice of an unknown holder");
    checkRange({Entry.Outstanding, Entry.UnwitnessedCap, Entry.Demand});
    checkRange({Entry.FirstReport + 1, Entry.SecondReport + 1});
    checkRange({Owner.Outstanding + Entry.Outstanding});
    auto At = static_cast<Index>(this->Slices.size());
    Owner.Outstanding += Entry.Outstanding;
    Owner.Demands += Entry.Demand != 0;
    this->Slices.push_back(Entry);
    (Last == None ? Owner.FirstSlice : this->Slices[Last].Next) = At;
    Last = At;
  }
  this->TeamIndex.emplace(Owner.Team, static_cast<Index>(this->Budgets.size()));
  this->Budgets.push_back(Owner);
}

std::uint64_t BudgetFold::digest() const {
  std::uint64_t Sum = combine(this->Epoch, this->Memory.digest());
  std::uint64_t Unordered = 0;
  for (const auto &Owner : this->Budgets) {
    std::uint64_t Word = combine(Owner.Team.Value, Owner.ToppedUp);
    Word = combine(Word, Owner.Settled);
    Word = combine(Word, Owner.Unallocated);
    Word = combine(Word, Owner.IsClosed);
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next) {
      const Slice &Entry = this->Slices[At];
      Word = combine(Word, this->Holders[Entry.Holder].Id.Host.Value);
      Word = combine(Word, this->Holders[Entry.Holder].Id.Run);
      Word = combine(Word, this->Holders[Entry.Holder].IsEnded);
      for (Index Witness : {Entry.FirstWitness, Entry.SecondWitness}) {
        Word = combine(Word, this->Holders[Witness].Id.Host.Value);
        Word = combine(Word, this->Holders[Witness].Id.Run);
      }
      Word = combine(Word, Entry.FirstReport);
      Word = combine(Word, Entry.SecondReport);
      Word = combine(Word, Entry.Outstanding);
      Word = combine(Word, Entry.UnwitnessedCap);
      Word = combine(Word, Entry.Demand);
      Word = combine(Word, Entry.Sequence);
    }
    Unordered += Word;
  }
  return combine(Sum, Unordered);
}

} // namespace bergamothook
