/// \file
/// Commands on the configuration: apply, diff, rollback, history, show.

#include "Command.h"
#include "ConfigReading.h"
#include "Publishing.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace bergamothook {

namespace {

constexpr Duration WaitTimeout = std::chrono::seconds(30);
constexpr Duration WaitInterval = std::chrono::milliseconds(200);
const std::string DryRunFlag = "--dry-run";
const std::string WaitFlag = "--wait";
const std::string ExplainFlag = "--explain";

/// Takes \p Flag out of \p Words. \returns whether it was there.
bool takeFlag(std::vector<std::string> &Words, const std::string &Flag) {
  return std::erase(Words, Flag) > 0;
}

CommandStatus usage(CommandContext &Context, const std::string &Text) {
  Context.Err << Text << "\n";
  return CommandStatus::Usage;
}

CommandStatus refuse(CommandContext &Context, const ConfigProblem &Problem) {
  Context.Err << toString(Problem) << "\n";
  return CommandStatus::Refused;
}

ConfigChange makeChange(const CommandContext &Context, const ConfigFold &Fold,
                        std::vector<ConfigEdit> Edits, std::string Comment) {
  ConfigChange Change;
  Change.Id = makeRecordId();
  Change.Base = Fold.revision();
  Change.Author = Context.Operator;
  Change.Time = readWallClock();
  Change.Comment = std::move(Comment);
  Change.Edits = std::move(Edits);
  return Change;
}

void printPreview(CommandContext &Context, const ChangePreview &Preview) {
  for (const ObjectTransition &Step : Preview.Objects) {
    Context.Out << toString(Step.Object) << "\n";
    Context.Out << "- " << (Step.From.empty() ? "(none)" : Step.From) << "\n";
    Context.Out << "+ " << (Step.To.empty() ? "(none)" : Step.To) << "\n";
  }
  Context.Out << "teams touched:";
  for (const std::string &Team : Preview.AffectedTeams)
    Context.Out << " " << Team;
  Context.Out << "\n";
}

/// The hosts that do not tell \p Wanted, or a later revision, as in force.
std::vector<std::string> laggingHosts(CommandContext &Context,
                                      Revision Wanted) {
  std::vector<std::string> Lagging;
  for (const OperatorEndpoint &Host : Context.Hosts) {
    auto Status = callHost(Context, Host, "GET", "/admin/status");
    if (!Status || Status->value("revision", std::uint64_t{0}) < Wanted.Value)
      Lagging.push_back(Host.Host);
  }
  return Lagging;
}

CommandStatus waitForHosts(CommandContext &Context, Revision Wanted) {
  TimePoint Deadline = Context.Tasks.Now() + WaitTimeout;
  std::vector<std::string> Lagging = laggingHosts(Context, Wanted);
  while (!Lagging.empty() && Context.Tasks.Now() < Deadline) {
    Context.Tasks.sleepUntil(Context.Tasks.Now() + WaitInterval);
    Lagging = laggingHosts(Context, Wanted);
  }
  if (Lagging.empty()) {
    Context.Out << "in force on all " << Context.Hosts.size() << " hosts\n";
    return CommandStatus::Done;
  }
  Context.Err << "not in force on:";
  for (const std::string &Host : Lagging)
    Context.Err << " " << Host;
  Context.Err << "\n";
  return CommandStatus::Unreachable;
}

/// Publishes \p Edits, or only shows what they would do.
CommandStatus publish(CommandContext &Context, PublishedConfig &Known,
                      std::vector<ConfigEdit> Edits, std::string Comment,
                      bool IsDryRun, bool IsWaiting) {
  ConfigChange Change =
      makeChange(Context, Known.Fold, std::move(Edits), std::move(Comment));
  auto Preview = Known.Fold.preview(Change);
  if (!Preview)
    return refuse(Context, Preview.error());
  if (IsDryRun) {
    printPreview(Context, Preview.value());
    return CommandStatus::Done;
  }
  auto Verdict = publishChange(Context, Known, Change);
  if (!Verdict) {
    Context.Err << "change " << toHex(Change.Id)
                << " is not confirmed, and may still be accepted: "
                << Verdict.error().message() << "\n";
    return CommandStatus::Unreachable;
  }
  if (!Verdict.value().IsAccepted)
    return refuse(Context, *Verdict.value().Problem);
  Revision At = Verdict.value().At;
  Context.Out << "accepted as revision " << At.Value << "\n";
  return IsWaiting ? waitForHosts(Context, At) : CommandStatus::Done;
}

Result<std::vector<ConfigEdit>> readEdits(CommandContext &Context,
                                          const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In) {
    Context.Err << File << ": cannot be read\n";
    return std::make_error_code(std::errc::no_such_file_or_directory);
  }
  auto Edits = parseEdits(Text.str());
  if (!Edits) {
    Context.Err << File << ": " << toString(Edits.error()) << "\n";
    return make_error_code(Edits.error().Error);
  }
  return std::move(Edits.value());
}

CommandStatus applyFile(CommandContext &Context,
                        std::vector<std::string> Words) {
  bool IsDryRun = takeFlag(Words, DryRunFlag);
  bool IsWaiting = takeFlag(Words, WaitFlag);
  if (Words.size() != 1)
    return usage(Context, "apply needs a file");
  auto Edits = readEdits(Context, Words[0]);
  if (!Edits)
    return CommandStatus::Usage;
  auto Known = readConfig(Context);
  if (!Known)
    return CommandStatus::Unreachable;
  return publish(Context, *Known, std::move(Edits.value()), Words[0], IsDryRun,
                 IsWaiting);
}

CommandStatus diffFile(CommandContext &Context,
                       std::vector<std::string> Words) {
  Words.push_back(DryRunFlag);
  return applyFile(Context, std::move(Words));
}

CommandStatus rollBack(CommandContext &Context,
                       std::vector<std::string> Words) {
  bool IsDryRun = takeFlag(Words, DryRunFlag);
  bool IsWaiting = takeFlag(Words, WaitFlag);
  char *End = nullptr;
  std::uint64_t Target =
      Words.size() == 1 ? std::strtoull(Words[0].c_str(), &End, 10) : 0;
  if (Words.size() != 1 || End == Words[0].c_str() || *End != '\0')
    return usage(Context, "rollback needs a revision");
  auto Known = readConfig(Context);
  if (!Known)
    return CommandStatus::Unreachable;
  auto Edits = Known->Fold.editsBackTo(Revision{Target});
  if (!Edits)
    return refuse(Context, Edits.error());
  return publish(Context, *Known, std::move(Edits.value()),
                 "rollback to " + Words[0], IsDryRun, IsWaiting);
}

CommandStatus showHistory(CommandContext &Context,
                          const std::vector<std::string> &Words) {
  if (!Words.empty())
    return usage(Context, "history takes no words");
  auto Known = readConfig(Context);
  if (!Known)
    return CommandStatus::Unreachable;
  for (const HistoryEntry &Change : Known->Fold.history()) {
    Context.Out << "revision " << Change.At.Value << " offset "
                << Change.Position.At.Value << " by " << Change.Author << " at "
                << Change.Time.time_since_epoch().count()
                << " ms: " << Change.Comment << "\n";
    for (const ObjectTransition &Step : Change.Objects)
      Context.Out << "    " << toString(Step.Object) << "\n";
  }
  return CommandStatus::Done;
}

CommandStatus showObject(CommandContext &Context,
                         std::vector<std::string> Words) {
  bool IsExplained = takeFlag(Words, ExplainFlag);
  auto Key = Words.size() == 2 ? parseObjectKey(Words[0] + "/" + Words[1])
                               : std::nullopt;
  if (!Key)
    return usage(Context,
                 "show needs a kind (template, team, service, operator) and "
                 "a name");
  auto Known = readConfig(Context);
  if (!Known)
    return CommandStatus::Unreachable;
  auto Object = Known->Fold.object(*Key);
  if (!Object)
    return usage(Context, "there is no " + toString(*Key));
  if (!IsExplained) {
    Context.Out << Object->dump(2) << "\n";
    return CommandStatus::Done;
  }
  auto Resolved = Known->Fold.explain(Words[1]);
  if (!Resolved)
    return refuse(Context, Resolved.error());
  printExplained(Context, Resolved.value());
  return CommandStatus::Done;
}

const CommandRegistration
    ApplyCommand("apply",
                 {"FILE [--dry-run] [--wait]",
                  "publish the objects of a file as one change, all or none; "
                  "--wait until it is in force on every host",
                  applyFile});
const CommandRegistration
    DiffCommand("diff", {"FILE", "show what a file would change", diffFile});
const CommandRegistration RollbackCommand(
    "rollback",
    {"REVISION [--dry-run] [--wait]",
     "publish a change that brings back an earlier revision", rollBack});
const CommandRegistration
    HistoryCommand("history", {"", "list the accepted changes", showHistory});
const CommandRegistration ShowCommand(
    "show", {"KIND NAME [--explain]",
             "show an object; with --explain a team's effective settings and "
             "where each value comes from",
             showObject});

} // namespace

} // namespace bergamothook
