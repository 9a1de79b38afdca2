#include "LibConfig/ConfigReplica.h"

#include "LibPeer/MessageCodec.h"

namespace bergamothook {

namespace {

constexpr std::size_t MaxRecentBytes = 4 << 20;

/// The state of a replica, as it is handed to another host.
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
  this->keep(Entry);
  auto Records = decodeBatch(Entry.Payload);
  if (!Records) {
    ++this->Skipped;
    return OfferOutcome::Applied;
  }
  RecordPosition Position{Entry.At, 0};
  for (const auto &Record : Records.value()) {
    auto Verdict = this->Fold.apply(Record, Position);
    if (Verdict && this->Tell)
      this->Tell(Record.Id, *Verdict);
    ++Position.Index;
  }
  return OfferOutcome::Applied;
}

void ConfigReplica::keep(const LogEntry &Entry) {
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
  std::vector<LogEntry> Wanted;
  if (From >= this->Next)
    return Wanted;
  std::uint64_t FirstKept = this->Next.Value - this->Recent.size();
  if (From.Value < FirstKept)
    return std::nullopt;
  std::size_t Bytes = 0;
  for (std::size_t Index = From.Value - FirstKept; Index < this->Recent.size();
       ++Index) {
    Bytes += this->Recent[Index].Payload.size();
    if (Bytes > MaxBytes && !Wanted.empty())
      break;
    Wanted.push_back(this->Recent[Index]);
  }
  return Wanted;
}

std::string ConfigReplica::encodeState() const {
  return encodeMessage(EncodedState{this->Next, this->Fold.encode()});
}

ConfigResult<bool> ConfigReplica::restore(std::string_view State) {
  auto Read = decodeMessage<EncodedState>(State);
  if (!Read)
    return ConfigProblem{ConfigError::Malformed, {}, "", "", "a state"};
  if (Read.value().Next <= this->Next)
    return false;
  BOOST_OUTCOME_TRY(Newer, ConfigFold::decode(Read.value().Fold));
  if (Newer.revision() < this->Fold.revision())
    return ConfigProblem{ConfigError::Malformed,
                         {},
                         "",
                         std::to_string(Newer.revision().Value),
                         "a revision not below the present one"};
  this->Fold = std::move(Newer);
  this->Next = Read.value().Next;
  this->Recent.clear();
  this->RecentBytes = 0;
  return true;
}

} // namespace bergamothook
