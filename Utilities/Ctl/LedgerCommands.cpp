/// \file
/// Commands by which an operator states facts that no host can prove:
/// host-ended and write-back.

#include "Command.h"
#include "LibLedger/LedgerRecord.h"
#include "LibOutcome/OrderRecord.h"
#include "Publishing.h"

#include <charconv>

namespace bergamothook {

namespace {

template <typename Number>
bool parseNumber(const std::string &Text, Number &Value) {
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Value);
  return Read.ec == std::errc() && Read.ptr == End;
}

bool publishOrTell(CommandContext &Context, const std::string &Stream,
                   StreamRecord Record) {
  auto At = publishRecord(Context, Stream, std::move(Record));
  if (At) {
    Context.Out << Stream << ": recorded at offset " << At.value().At.Value
                << "\n";
    return true;
  }
  Context.Err << Stream << ": " << At.error().message() << "\n";
  return false;
}

CommandStatus endHost(CommandContext &Context,
                      const std::vector<std::string> &Words) {
  std::uint64_t Run = 0;
  if (Words.size() != 2 || !parseNumber(Words[1], Run)) {
    Context.Err << "host-ended needs a host and the number of its run\n";
    return CommandStatus::Usage;
  }
  Incarnation Gone{idOfName<HostId>(Words[0]), Run};
  bool IsRecorded = true;
  for (std::uint32_t Shard = 0; Shard < Context.LedgerShards; ++Shard)
    IsRecorded &= publishOrTell(
        Context, ledgerStreamName(Shard),
        makeLedgerRecord(
            makeRecordId(), writerOf(Context),
            IncarnationEnded{Gone, EndEvidence::Operator, Context.Operator}));
  IsRecorded &= publishOrTell(Context, OrderStream,
                              makeOrderRecord(makeRecordId(), writerOf(Context),
                                              OrderRecordKind::IncarnationEnded,
                                              OrderIncarnationEnded{Gone}));
  return IsRecorded ? CommandStatus::Done : CommandStatus::Unreachable;
}

CommandStatus writeBack(CommandContext &Context,
                        const std::vector<std::string> &Words) {
  std::uint64_t Run = 0;
  TokenCount Spent = 0;
  bool IsValid = Words.size() == 4 && parseNumber(Words[2], Run) &&
                 parseNumber(Words[3], Spent) && Spent >= 0;
  if (!IsValid) {
    Context.Err << "write-back needs an account, a host, the number of its "
                   "run and the tokens that it spent\n";
    return CommandStatus::Usage;
  }
  TeamId Account = idOfName<TeamId>(Words[0]);
  WriteBack Word{
      Account, {idOfName<HostId>(Words[1]), Run}, Spent, Context.Operator};
  bool IsRecorded = publishOrTell(
      Context, ledgerStreamName(ledgerShardOf(Account, Context.LedgerShards)),
      makeLedgerRecord(makeRecordId(), writerOf(Context), Word));
  return IsRecorded ? CommandStatus::Done : CommandStatus::Unreachable;
}

const CommandRegistration EndCommand(
    "host-ended",
    {"HOST RUN",
     "state, on the record, that a run of a host has ended for good", endHost});
const CommandRegistration WriteBackCommand(
    "write-back",
    {"ACCOUNT HOST RUN SPENT",
     "settle the slice of an ended run: SPENT tokens count as spent, the rest "
     "returns",
     writeBack});

} // namespace

} // namespace bergamothook
