/// \file
/// Commands that ask hosts: status, explain, orders, suspects.

#include "Command.h"

namespace bergamothook {

namespace {

CommandStatus showStatus(CommandContext &Context,
                         const std::vector<std::string> &) {
  CommandStatus Status = CommandStatus::Done;
  for (const OperatorEndpoint &Host : Context.Hosts) {
    auto Body = callHost(Context, Host, "GET", "/admin/status");
    if (!Body) {
      Status = CommandStatus::Unreachable;
      continue;
    }
    Context.Out << Body->dump() << "\n";
  }
  return Status;
}

CommandStatus explain(CommandContext &Context,
                      const std::vector<std::string> &Words) {
  if (Words.size() != 1) {
    Context.Err << "explain needs the identifier of a request\n";
    return CommandStatus::Usage;
  }
  bool IsKnown = false;
  for (const OperatorEndpoint &Host : Context.Hosts) {
    auto Body = callHost(Context, Host, "GET", "/admin/explain/" + Words[0]);
    if (!Body || (*Body)["choices"].empty())
      continue;
    IsKnown = true;
    (*Body)["host"] = Host.Host;
    Context.Out << Body->dump(2) << "\n";
  }
  return IsKnown ? CommandStatus::Done : CommandStatus::Refused;
}

/// Asks host after host until one answers.
CommandStatus askAny(CommandContext &Context, const std::string &Method,
                     const std::string &Path) {
  for (const OperatorEndpoint &Host : Context.Hosts) {
    auto Body = callHost(Context, Host, Method, Path);
    if (!Body)
      continue;
    Context.Out << Body->dump(2) << "\n";
    return CommandStatus::Done;
  }
  return CommandStatus::Unreachable;
}

CommandStatus showOrder(CommandContext &Context,
                        const std::vector<std::string> &Words) {
  if (Words.size() != 2) {
    Context.Err << "order needs a team and an idempotency key\n";
    return CommandStatus::Usage;
  }
  return askAny(Context, "GET",
                "/admin/orders?team=" + Words[0] + "&key=" + Words[1]);
}

CommandStatus settleOrder(CommandContext &Context,
                          const std::vector<std::string> &Words) {
  bool IsValid =
      Words.size() == 3 && (Words[2] == "run" || Words[2] == "not-run");
  if (!IsValid) {
    Context.Err << "settle-order needs a team, a key, and run or not-run\n";
    return CommandStatus::Usage;
  }
  std::string HasRun = Words[2] == "run" ? "true" : "false";
  return askAny(Context, "POST",
                "/admin/orders/settle?team=" + Words[0] + "&key=" + Words[1] +
                    "&has_run=" + HasRun);
}

CommandStatus listSuspects(CommandContext &Context,
                           const std::vector<std::string> &) {
  return askAny(Context, "GET", "/admin/suspects");
}

CommandStatus liftSuspect(CommandContext &Context,
                          const std::vector<std::string> &Words) {
  if (Words.size() != 1) {
    Context.Err << "lift needs the identifier of a content\n";
    return CommandStatus::Usage;
  }
  return askAny(Context, "DELETE", "/admin/suspects/" + Words[0]);
}

const CommandRegistration SuspectsCommand(
    "suspects", {"", "list the contents that crashed targets", listSuspects});
const CommandRegistration LiftCommand(
    "lift", {"CONTENT", "let a quarantined content run again", liftSuspect});
const CommandRegistration
    StatusCommand("status", {"", "show the state of every host", showStatus});
const CommandRegistration ExplainCommand(
    "explain", {"REQUEST", "show why a request went to its target", explain});
const CommandRegistration
    OrderCommand("order",
                 {"TEAM KEY", "show the evidence of an order", showOrder});
const CommandRegistration SettleCommand(
    "settle-order",
    {"TEAM KEY run|not-run",
     "state, on the record, what became of an order of unknown outcome",
     settleOrder});

} // namespace

} // namespace bergamothook
