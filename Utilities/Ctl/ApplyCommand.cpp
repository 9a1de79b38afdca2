/// \file
/// The command that publishes a change of the configuration.

#include "Command.h"
#include "LibConfig/ConfigFold.h"
#include "Publishing.h"

#include <fstream>
#include <sstream>

namespace bergamothook {

namespace {

std::optional<std::string> readFile(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In)
    return std::nullopt;
  return std::move(Text).str();
}

void printProblem(CommandContext &Context, const ConfigProblem &Problem) {
  Context.Err << toString(Problem) << "\n";
}

CommandStatus publish(CommandContext &Context, ConfigFold &Fold, Offset Next,
                      ConfigChange Change) {
  auto Preview = Fold.preview(Change);
  if (!Preview) {
    printProblem(Context, Preview.error());
    return CommandStatus::Refused;
  }
  std::optional<ConfigVerdict> Verdict;
  auto At = publishRecord(
      Context, ConfigStream, recordOfChange(Change, writerOf(Context)), Next,
      [&](const StreamRecord &Record, RecordPosition Position) {
        auto Known = Fold.apply(Record, Position);
        if (Record.Id == Change.Id && !Verdict)
          Verdict = Known;
      });
  if (!At || !Verdict) {
    Context.Err << "change " << toHex(Change.Id)
                << " is not confirmed, and may still be accepted\n";
    return CommandStatus::Unreachable;
  }
  if (!Verdict->IsAccepted) {
    printProblem(Context, *Verdict->Problem);
    return CommandStatus::Refused;
  }
  Context.Out << "accepted as revision " << Verdict->At.Value << "\n";
  return CommandStatus::Done;
}

CommandStatus apply(CommandContext &Context,
                    const std::vector<std::string> &Words) {
  if (Words.size() != 1) {
    Context.Err << "apply needs a file\n";
    return CommandStatus::Usage;
  }
  auto Text = readFile(Words[0]);
  if (!Text) {
    Context.Err << Words[0] << ": cannot be read\n";
    return CommandStatus::Usage;
  }
  auto Edits = parseEdits(*Text);
  if (!Edits) {
    printProblem(Context, Edits.error());
    return CommandStatus::Usage;
  }
  ConfigFold Fold;
  auto Read =
      readStream(Context, ConfigStream, Offset{0},
                 [&Fold](const StreamRecord &Record, RecordPosition At) {
                   Fold.apply(Record, At);
                 });
  if (!Read) {
    Context.Err << "cannot read the log: " << Read.error().message() << "\n";
    return CommandStatus::Unreachable;
  }
  ConfigChange Change;
  Change.Id = makeRecordId();
  Change.Base = Fold.revision();
  Change.Author = Context.Operator;
  Change.Time = readWallClock();
  Change.Edits = std::move(Edits.value());
  return publish(Context, Fold, Read.value(), std::move(Change));
}

const CommandRegistration ApplyCommand(
    "apply", {"FILE", "publish the objects of a file as one change", apply});

} // namespace

} // namespace bergamothook
