/// \file
/// The command that lists what operators did, from the records on the log.

#include "Command.h"
#include "ConfigReading.h"
#include "LibLedger/LedgerRecord.h"
#include "LibOutcome/OrderRecord.h"
#include "Publishing.h"

#include <variant>

namespace bergamothook {

namespace {

/// One act of an operator.
struct AuditLine {
  std::string Stream;
  RecordPosition At;
  std::string By;
  std::string Act;
  std::string Object;
  std::string From;
  std::string To;
  std::int64_t WallMilliseconds = 0;
};

/// What the words of the command let through; empty lets everything through.
struct AuditFilter {
  std::string By;
  std::string Act;
  std::string Object;

  bool accepts(const AuditLine &Line) const {
    return (this->By.empty() || this->By == Line.By) &&
           (this->Act.empty() || this->Act == Line.Act) &&
           (this->Object.empty() || this->Object == Line.Object);
  }
};

using AuditTrail = std::vector<AuditLine>;

void addConfiguration(const ConfigFold &Fold, AuditTrail &Trail) {
  for (const HistoryEntry &Change : Fold.history())
    for (const ObjectTransition &Step : Change.Objects)
      Trail.push_back({ConfigStream, Change.Position, Change.Author,
                       "configure", toString(Step.Object), Step.From, Step.To,
                       Change.Time.time_since_epoch().count()});
}

/// Turns the records of a ledger that operators write into lines.
struct LedgerLines {
  const std::string &Stream;
  RecordPosition At;
  AuditTrail &Trail;

  void operator()(const TopUp &Body) const {
    this->add(Body.By, "topup", toHex(Body.Team.Value),
              std::to_string(Body.Tokens));
  }
  void operator()(const IncarnationEnded &Body) const {
    if (Body.Evidence == EndEvidence::Operator)
      this->add(Body.By, "end-host", toHex(Body.Ended.Host.Value),
                std::to_string(Body.Ended.Run));
  }
  void operator()(const WriteBack &Body) const {
    this->add(Body.By, "write-back", toHex(Body.Team.Value),
              std::to_string(Body.Spent));
  }
  void operator()(const CloseBudget &Body) const {
    this->add(Body.By, "close-budget", toHex(Body.Team.Value), "");
  }
  template <typename Body> void operator()(const Body &) const {}

  void add(const std::string &By, const std::string &Act,
           const std::string &Object, const std::string &To) const {
    this->Trail.push_back({this->Stream, this->At, By, Act, Object, "", To, 0});
  }
};

Result<void> addLedgers(CommandContext &Context, AuditTrail &Trail) {
  for (std::uint32_t Shard = 0; Shard < Context.LedgerShards; ++Shard) {
    std::string Stream = ledgerStreamName(Shard);
    BOOST_OUTCOME_TRYV(
        readStream(Context, Stream, Offset{0},
                   [&](const StreamRecord &Record, RecordPosition At) {
                     auto Body = decodeLedgerBody(Record);
                     if (Body)
                       std::visit(LedgerLines{Stream, At, Trail}, Body.value());
                   }));
  }
  return success();
}

Result<void> addOrders(CommandContext &Context, AuditTrail &Trail) {
  auto Kind = static_cast<std::uint16_t>(OrderRecordKind::OperatorSettled);
  BOOST_OUTCOME_TRYV(readStream(
      Context, OrderStream, Offset{0},
      [&](const StreamRecord &Record, RecordPosition At) {
        if (Record.Kind != Kind)
          return;
        auto Word = readOrderRecord<OrderSettled>(Record);
        if (Word)
          Trail.push_back({OrderStream, At, Word.value().Operator,
                           "settle-order", toHex(Word.value().Request),
                           "unknown", Word.value().HasRun ? "run" : "not run",
                           0});
      }));
  return success();
}

/// Each line's hash covers the line before it, so that nothing can be taken
/// out or changed without changing the last one.
std::uint64_t chain(std::uint64_t Before, const AuditLine &Line) {
  nlohmann::json Body{Line.Stream, Line.At.At.Value, Line.At.Index,
                      Line.By,     Line.Act,         Line.Object,
                      Line.From,   Line.To,          Line.WallMilliseconds};
  return hash64(Body.dump(), Before);
}

void print(CommandContext &Context, const AuditLine &Line, std::uint64_t Link) {
  nlohmann::json Body{{"stream", Line.Stream}, {"offset", Line.At.At.Value},
                      {"who", Line.By},        {"what", Line.Act},
                      {"object", Line.Object}, {"from", Line.From},
                      {"to", Line.To},         {"chain", toHex(Link)}};
  if (Line.WallMilliseconds > 0)
    Body["time_ms"] = Line.WallMilliseconds;
  Context.Out << Body.dump() << "\n";
}

CommandStatus audit(CommandContext &Context,
                    const std::vector<std::string> &Words) {
  AuditFilter Filter;
  for (const std::string &Word : Words) {
    if (Word.starts_with("by="))
      Filter.By = Word.substr(3);
    else if (Word.starts_with("what="))
      Filter.Act = Word.substr(5);
    else if (Word.starts_with("object="))
      Filter.Object = Word.substr(7);
    else {
      Context.Err << "audit takes by=NAME, what=ACT and object=NAME\n";
      return CommandStatus::Usage;
    }
  }
  auto Known = readConfig(Context);
  if (!Known)
    return CommandStatus::Unreachable;
  AuditTrail Trail;
  addConfiguration(Known->Fold, Trail);
  auto Ledgers = addLedgers(Context, Trail);
  auto Orders = addOrders(Context, Trail);
  if (!Ledgers || !Orders) {
    Context.Err << "the log can't be read, or has dropped a part\n";
    return CommandStatus::Unreachable;
  }
  std::uint64_t Link = 0;
  for (const AuditLine &Line : Trail) {
    Link = chain(Link, Line);
    if (Filter.accepts(Line))
      print(Context, Line, Link);
  }
  return CommandStatus::Done;
}

const CommandRegistration AuditCommand(
    "audit",
    {"[by=NAME] [what=ACT] [object=NAME]",
     "list what operators did, with a hash chain over all of it", audit});

} // namespace

} // namespace bergamothook
