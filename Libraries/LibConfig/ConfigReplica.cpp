#include "LibConfig/ConfigReplica.h"

#include "LibPeer/MessageCodec.h"

namespace bergamothook {

namespace {

constexpr std::size_t MaxRecentBytes = 4 << 20;

/// The encoded state of a replica, as sent to other hosts and written to
/// snapshots.
struct EncodedState {
  Offset Next;
  std::string Fold;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Next, this->Fold);
  }
};

} // namespace

OfferOutcome ConfigReplica::offer(const LogEntry &Entry) {
  if (Entry.At < this->Next)
    return OfferOutcome::AlreadyKnown;
  if (Entry.At > this->Next)
    return OfferOutcome::Gap;
  this->Next = Offset{Entry.At.Value + 1};
  this->retain(Entry);
  auto Records = decodeBatch(Entry.Payload);
  if (!Records) {
    ++this->Skipped;
    return OfferOutcome::Applied;
  }
  RecordPosition Position{Entry.At, 0};
  for (const auto &Record : Records.value()) {
    auto Verdict = this->Fold.apply(Record, Position);
    if (Verdict && this->VerdictHook)
      this->VerdictHook(Record.Id, *Verdict);
    ++Position.Index;
  }
  return OfferOutcome::Applied;
}

void ConfigReplica::retain(const LogEntry &Entry) {
  this->Recent.push_back(Entry);
  this->RecentBytes += Entry.Payload.size();
  while (this->RecentBytes > MaxRecentBytes && this->Recent.size() > 1) {
    this->RecentBytes -= this->Recent.front().Payload.size();
    this->Recent.pop_front();
  }
}

ConfigPosition ConfigReplica::position() const {
  return {this->Next, this->Fold.revision(), this->Fold.digest()};
}

std::optional<std::vector<LogEntry>>
ConfigReplica::entriesFrom(Offset From, std::size_t MaxBytes) const {
  std::vector<LogEntry> Entries;
  if (From >= this->Next)
    return Entries;
  std::uint64_t FirstRetained = this->Next.Value - this->Recent.size();
  if (From.Value < FirstRetained)
    return std::nullopt;
  std::size_t Bytes = 0;
  for (std::size_t Index = From.Value - FirstRetained;
       Index < this->Recent.size(); ++Index) {
    Bytes += this->Recent[Index].Payload.size();
    if (Bytes > MaxBytes && !Entries.empty())
      break;
    Entries.push_back(this->Recent[Index]);
  }
  return Entries;
}

std::string ConfigReplica::encodeState() const {
  return encodeMessage(EncodedState{this->Next, this->Fold.encode()});
}

ConfigResult<bool> ConfigReplica::restore(std::string_view State) {
  auto Decoded = decodeMessage<EncodedState>(State);
  if (!Decoded)
    return ConfigProblem{
        ConfigError::Malformed, {}, "", "", "an encoded state"};
  if (Decoded.value().Next <= this->Next)
    return false;
  BOOST_OUTCOME_TRY(NewFold, ConfigFold::decode(Decoded.value().Fold));
  if (NewFold.revision() < this->Fold.revision())
    return ConfigProblem{ConfigError::Malformed,
                         {},
                         "",
                         std::to_string(NewFold.revision().Value),
                         "a revision not older than the current one"};
  this->Fold = std::move(NewFold);
  this->Next = Decoded.value().Next;
  this->Recent.clear();
  this->RecentBytes = 0;
  return true;
}

} // namespace bergamothook
