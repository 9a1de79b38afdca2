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

/// Reads a count, and refuses one that the rest of the input can't hold.
template <typename Archive>
std::uint32_t readCount(Archive &Ar, std::size_t LargestCount) {
  std::uint32_t Count = 0;
  Ar(Count);
  if (Count > LargestCount)
    throw cereal::Exception("count exceeds the snapshot");
  return Count;
}

/// Reads a flag, and refuses any value but 0 and 1.
template <typename Archive> bool readFlag(Archive &Ar) {
  std::uint8_t Value = 0;
  Ar(Value);
  if (Value > 1)
    throw cereal::Exception("flag out of range");
  return Value == 1;
}

/// Refuses terms that no budget can have, so that no sum overflows.
void checkRange(std::initializer_list<TokenCount> Terms) {
  for (TokenCount Term : Terms)
    if (Term < 0 || Term > MostTokens)
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
  for (const auto &Known : this->Holders)
    Ar(Known.Id, Known.IsEnded);
  Ar(static_cast<std::uint32_t>(this->Budgets.size()));
  for (const auto &Owner : this->Budgets) {
    std::uint32_t Count = 0;
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next)
      ++Count;
    Ar(Owner.Team, Owner.ToppedUp, Owner.Settled, Owner.Unallocated,
       Owner.IsClosed, Count);
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next) {
      const Slice &Present = this->Slices[At];
      Ar(Present.Holder, Present.FirstWitness, Present.SecondWitness,
         Present.Sequence, Present.Outstanding, Present.UnwitnessedCap,
         Present.Demand, Present.DemandOrder, Present.FirstReport,
         Present.SecondReport);
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
    Holder Known;
    Ar(Known.Id);
    Known.IsEnded = readFlag(Ar);
    this->HolderIndex.emplace(Known.Id, Count);
    this->Holders.push_back(Known);
  }
  std::uint32_t BudgetCount = readCount(Ar, Size);
  this->Budgets.reserve(BudgetCount);
  this->TeamIndex.reserve(BudgetCount);
  for (std::uint32_t Count = 0; Count < BudgetCount; ++Count)
    this->loadBudget(Ar, Size);
  for (std::uint32_t Left = readCount(Ar, Size); Left != 0; --Left) {
    Hash128 Id;
    Ar(Id);
    this->Memory.insertOlder(Id);
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
    Slice Present;
    Ar(Present.Holder, Present.FirstWitness, Present.SecondWitness,
       Present.Sequence, Present.Outstanding, Present.UnwitnessedCap,
       Present.Demand, Present.DemandOrder, Present.FirstReport,
       Present.SecondReport);
    if (Present.Holder >= this->Holders.size() ||
        Present.FirstWitness >= this->Holders.size() ||
        Present.SecondWitness >= this->Holders.size())
      throw cereal::Exception("slice of an unknown holder");
    checkRange({Present.Outstanding, Present.UnwitnessedCap, Present.Demand});
    checkRange({Present.FirstReport + 1, Present.SecondReport + 1});
    checkRange({Owner.Outstanding + Present.Outstanding});
    auto At = static_cast<Index>(this->Slices.size());
    Owner.Outstanding += Present.Outstanding;
    Owner.Demands += Present.Demand != 0;
    this->Slices.push_back(Present);
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
      const Slice &Present = this->Slices[At];
      Word = combine(Word, this->Holders[Present.Holder].Id.Host.Value);
      Word = combine(Word, this->Holders[Present.Holder].Id.Run);
      Word = combine(Word, this->Holders[Present.Holder].IsEnded);
      for (Index Witness : {Present.FirstWitness, Present.SecondWitness}) {
        Word = combine(Word, this->Holders[Witness].Id.Host.Value);
        Word = combine(Word, this->Holders[Witness].Id.Run);
      }
      Word = combine(Word, Present.FirstReport);
      Word = combine(Word, Present.SecondReport);
      Word = combine(Word, Present.Outstanding);
      Word = combine(Word, Present.UnwitnessedCap);
      Word = combine(Word, Present.Demand);
      Word = combine(Word, Present.Sequence);
    }
    Unordered += Word;
  }
  return combine(Sum, Unordered);
}

} // namespace bergamothook
