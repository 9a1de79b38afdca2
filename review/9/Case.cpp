/// \file
/// A version of the configuration removes the last team, so that no key is in
/// force any more. Requests with the removed key and with a key that was never
/// in any version are sent later than the bound for changes.

#include "../standin-2/Standin2.h"

#include "../../platform/WireNames.h"

#include <cstdlib>

namespace {

using namespace review;
namespace wire = bergamothook::platform::wire;

constexpr const char *HeldKey = "n2ctnfzs989anu6wsjnb";
constexpr const char *UnknownKey = "zzzzzzzzzzzzzzzzzzzz";
/// Twice the bound within which a change is in force.
constexpr milliseconds ChangeTime(4000);

int runCase(const std::string &Folder, const std::string &Program,
            bool HasTrouble) {
  Record Out(Folder + "/record.txt");
  std::string Temporary = makeFolder();
  ServerLoop Loop;
  Store Platform(Loop, loopbackIp(0));
  std::map<std::string, std::string> TeamOfRun;
  std::string Target =
      Loop.listen(loopbackIp(0),
                  [&](const HttpMessage &Request,
                      Clock::time_point) -> std::optional<Reply> {
                    if (Request.method() == "GET")
                      return replyOf(200, "", "{}");
                    std::string Id = Request.find(wire::AttemptId);
                    TeamOfRun[Id] = Request.find(wire::Tenant);
                    Out.line("the target runs id " + Id + " of team \"" +
                             TeamOfRun[Id] + "\"");
                    return replyOf(200,
                                   std::string(wire::AttemptId) + ": " + Id +
                                       "\r\n" + std::string(wire::ServerStamp) +
                                       ": s-" + Id + "\r\n",
                                   "done", milliseconds(30));
                  });
  nlohmann::json Config = readJson(Folder + "/manifest.json");
  Platform.put(wire::OperatorTopic, wire::ConfigKey, Config.dump());
  Platform.put(wire::TargetTopic, "i-1",
               targetEntry("depot", Target, 6, "ready"));
  Loop.start();
  RelayProcess Relay(Program, "edge-1", loopbackIp(1), Platform.address(), {},
                     Temporary);
  Relay.start();
  if (!Relay.awaitReady(milliseconds(20'000))) {
    Out.line("the relay did not become ready");
    return 2;
  }
  int Sent = 0;
  auto Order = [&](const std::string &Key) {
    std::string Id = "order-" + std::to_string(++Sent);
    Caller Client(Relay.frontAddress());
    Client.send("POST /order/x HTTP/1.1\r\nHost: ficu95.example\r\n" +
                std::string(wire::AttemptId) + ": " + Id + "\r\n" +
                std::string(wire::DeadlineMs) + ": 1500\r\n" +
                std::string(wire::Authorization) + ": Bearer " + Key +
                "\r\nContent-Length: 4\r\n\r\nsend");
    HttpMessage Answer;
    unsigned Status = Client.read(Answer, milliseconds(3000));
    Out.line("sent id " + Id + " with key " + Key + ", answered " +
             std::to_string(Status));
    std::lock_guard Guard(Loop.Lock);
    return TeamOfRun.contains(Id);
  };
  bool RanHeld = Order(HeldKey);
  bool RanUnknown = Order(UnknownKey);
  if (!RanHeld || RanUnknown) {
    Out.line("keys are not checked even before the change");
    return 2;
  }
  // The last team goes; without the trouble, a team without keys stays.
  Config["version"] = 9;
  if (HasTrouble)
    Config["tenants"] = nlohmann::json::array();
  else
    Config["tenants"][0]["apiKeys"] = nlohmann::json::array();
  Platform.put(wire::OperatorTopic, wire::ConfigKey, Config.dump());
  Out.line("the store acknowledged version 9, teams: " +
           Config["tenants"].dump());
  std::this_thread::sleep_for(ChangeTime);
  int RunsOfRemoved = 0;
  int RunsOfUnknown = 0;
  for (int I = 0; I < 5; ++I) {
    RunsOfRemoved += Order(HeldKey) ? 1 : 0;
    RunsOfUnknown += Order(UnknownKey) ? 1 : 0;
  }
  Out.line(
      "runs with the removed key: " + std::to_string(RunsOfRemoved) +
      ", with a key that was never held: " + std::to_string(RunsOfUnknown));
  return RunsOfRemoved + RunsOfUnknown > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  const char *Trouble = std::getenv("TROUBLE");
  return runCase(Arguments[1], Arguments[2],
                 !Trouble || std::string(Trouble) != "0");
}
