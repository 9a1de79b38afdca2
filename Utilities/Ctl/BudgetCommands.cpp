/// \file
/// Commands on budgets: topup, budget, ledger.

#include "Command.h"
#include "LibLedger/BudgetFold.h"
#include "Publishing.h"

#include <charconv>

namespace bergamothook {

namespace {

std::string streamOf(const CommandContext &Context, TeamId Account) {
  return ledgerStreamName(ledgerShardOf(Account, Context.LedgerShards));
}

bool parseTokens(const std::string &Text, TokenCount &Tokens) {
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Tokens);
  return Read.ec == std::errc() && Read.ptr == End && Tokens > 0;
}

Result<BudgetFold> foldLedger(CommandContext &Context,
                              const std::string &Stream) {
  BudgetFold Fold;
  BOOST_OUTCOME_TRYV(
      readStream(Context, Stream, Offset{0},
                 [&Fold](const StreamRecord &Record, RecordPosition At) {
                   Fold.apply(Record, At);
                 }));
  return Fold;
}

CommandStatus topUp(CommandContext &Context,
                    const std::vector<std::string> &Words) {
  TokenCount Tokens = 0;
  if (Words.size() != 2 || !parseTokens(Words[1], Tokens)) {
    Context.Err << "topup needs an account and a number of tokens above 0\n";
    return CommandStatus::Usage;
  }
  TeamId Account = idOfName<TeamId>(Words[0]);
  std::string Stream = streamOf(Context, Account);
  auto Fold = foldLedger(Context, Stream);
  if (!Fold) {
    Context.Err << "cannot read the log: " << Fold.error().message() << "\n";
    return CommandStatus::Unreachable;
  }
  TopUp Added{Account, Tokens, Fold.value().epoch(), Context.Operator};
  StreamRecord Record =
      makeLedgerRecord(makeRecordId(), writerOf(Context), Added);
  auto At = publishRecord(Context, Stream, Record);
  if (!At) {
    Context.Err << "record " << toHex(Record.Id)
                << " is not confirmed, and may still land: "
                << At.error().message() << "\n";
    return CommandStatus::Unreachable;
  }
  Context.Out << Words[0] << ": topped up by " << Tokens << " tokens at "
              << Stream << " offset " << At.value().At.Value << "\n";
  return CommandStatus::Done;
}

CommandStatus showBudget(CommandContext &Context,
                         const std::vector<std::string> &Words) {
  if (Words.size() != 1) {
    Context.Err << "budget needs an account\n";
    return CommandStatus::Usage;
  }
  TeamId Account = idOfName<TeamId>(Words[0]);
  auto Fold = foldLedger(Context, streamOf(Context, Account));
  if (!Fold) {
    Context.Err << "cannot read the log: " << Fold.error().message() << "\n";
    return CommandStatus::Unreachable;
  }
  auto Read = Fold.value().view(Account);
  if (!Read) {
    Context.Err << Words[0] << ": " << Read.error().message() << "\n";
    return CommandStatus::Refused;
  }
  const BudgetView &View = Read.value();
  nlohmann::json Body{{"account", Words[0]},
                      {"topped_up", View.ToppedUp},
                      {"settled", View.Settled},
                      {"outstanding", View.Outstanding},
                      {"stranded", View.Stranded},
                      {"unallocated", View.Unallocated},
                      {"offset", View.Position.At.Value},
                      {"slices", nlohmann::json::array()}};
  for (const SliceView &Slice : View.Slices) {
    std::string Holder = toHex(Slice.Holder.Host.Value);
    for (const OperatorEndpoint &Host : Context.Hosts)
      if (idOfName<HostId>(Host.Host) == Slice.Holder.Host)
        Holder = Host.Host;
    Body["slices"].push_back({{"host", Holder},
                              {"run", Slice.Holder.Run},
                              {"outstanding", Slice.Outstanding},
                              {"is_ended", Slice.IsEnded}});
  }
  Context.Out << Body.dump(2) << "\n";
  return CommandStatus::Done;
}

CommandStatus verifyLedger(CommandContext &Context,
                           const std::vector<std::string> &Words) {
  if (Words.size() != 1 || Words[0] != "verify") {
    Context.Err << "ledger knows only: ledger verify\n";
    return CommandStatus::Usage;
  }
  bool IsRight = true;
  for (std::uint32_t Shard = 0; Shard < Context.LedgerShards; ++Shard) {
    std::string Stream = ledgerStreamName(Shard);
    auto Fold = foldLedger(Context, Stream);
    if (!Fold) {
      Context.Err << Stream << ": " << Fold.error().message() << "\n";
      return CommandStatus::Unreachable;
    }
    const BudgetFoldCounters &Counts = Fold.value().counters();
    auto Wrong = Fold.value().verify();
    IsRight &= Wrong.empty() && Counts.Violations == 0 &&
               Counts.Overdraws == 0 && Counts.Malformed == 0;
    Context.Out << Stream << ": " << Counts.Applied << " records, "
                << Fold.value().budgetCount() << " budgets, "
                << Counts.SecondBills << " second bills ignored, "
                << Counts.Overdraws << " overdraws, " << Counts.Violations
                << " violations, " << Wrong.size() << " wrong sums\n";
  }
  Context.Out << (IsRight ? "the ledger adds up\n"
                          : "the ledger does NOT add up\n");
  return IsRight ? CommandStatus::Done : CommandStatus::Refused;
}

const CommandRegistration
    TopUpCommand("topup",
                 {"ACCOUNT TOKENS", "add prepaid tokens to a budget", topUp});
const CommandRegistration
    BudgetCommand("budget",
                  {"ACCOUNT", "show a budget as the log tells it", showBudget});
const CommandRegistration LedgerCommand(
    "ledger",
    {"verify", "recompute every budget from the log and check its sums",
     verifyLedger});

} // namespace

} // namespace bergamothook
