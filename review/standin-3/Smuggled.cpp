/// \file
/// A request whose body has a transfer coding that the relay does not know.

#include "Rig.h"

#include "../../platform/WireNames.h"

#include <algorithm>

using namespace bergamothook::review;
namespace wire = bergamothook::platform::wire;

namespace {

void execute(Target &Self, Channel &To, const HttpMessage &Request) {
  Self.answer(To, Request, "ok");
}

std::string head(const std::string &Path, const std::string &Id,
                 const std::string &Framing) {
  return "POST " + Path + " HTTP/1.1\r\nHost: " + RouteHost + "\r\n" +
         std::string(wire::AttemptId) + ": " + Id + "\r\n" +
         std::string(wire::DeadlineMs) + ": 1500\r\n" + Framing + "\r\n\r\n";
}

std::optional<bool> play(Record &Log, bool HasTrouble) {
  auto &Platform = keep<Store>();
  Target::Options Options;
  Options.Id = "i-0";
  Options.Service = "orders";
  auto &Server = keep<Target>(Platform, Log, Options, execute);
  Platform.putConfig(
      makeConfig({makeRoute("order", "non_idempotent", "orders")}, {"orders"}));
  auto &Host = keep<Relay>(Platform, Log, "host-0", "zone-a");
  if (!Host.start())
    return std::nullopt;
  constexpr double SettleSeconds = 4;
  sleepFor(SettleSeconds);
  // The text of a request, as the content of an order.
  std::string InnerId = newCallId();
  std::string Content = head("/order/inner", InnerId, "Content-Length: 0");
  std::string OuterId = newCallId();
  std::string Framing =
      HasTrouble ? "Transfer-Encoding: gzip"
                 : "Content-Length: " + std::to_string(Content.size());
  auto Connected = Channel::connect(Host.ip(), 8227);
  if (!Connected)
    return std::nullopt;
  Connected->setTimeout(3);
  Log.add("client sends " + OuterId + " (" + Framing + ") with a body of " +
          std::to_string(Content.size()) + " bytes, which names " + InnerId);
  Connected->send(head("/order/outer", OuterId, Framing) + Content);
  while (auto Answer = Connected->readMessage())
    Log.add("client gets " + std::to_string(Answer->status()) + " for " +
                Answer->find(wire::AttemptId).value_or("no id"),
            true);
  bool IsInnerRun = false;
  bool IsBodyChanged = false;
  for (const Target::Execution &Each : Server.executions()) {
    IsInnerRun |= Each.CallId == InnerId;
    IsBodyChanged |= Each.CallId == OuterId && Each.BodyBytes != Content.size();
  }
  if (IsInnerRun)
    Log.add("a target executed " + InnerId +
                ", which was the content of another request",
            true);
  if (IsBodyChanged)
    Log.add("a target executed " + OuterId + " without its body", true);
  return !IsInnerRun && !IsBodyChanged;
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
