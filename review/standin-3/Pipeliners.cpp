/// \file
/// Clients on all connections that a relay takes send requests ahead, and read
/// no answer.

#include "Rig.h"

#include "../../platform/WireNames.h"

#include <algorithm>
#include <thread>

using namespace bergamothook::review;
namespace wire = bergamothook::platform::wire;

namespace {

constexpr int Relays = 2;
constexpr MachineSize SmallMachine{120, 3075};
constexpr std::uint16_t FrontPort = 8227;
constexpr int ClientsOfRelay = 1800;
constexpr std::size_t AnswerBytes = 60'000;
/// Well below maxHeaderBytes.
constexpr std::size_t FillBytes = 3'000;
constexpr int ReceiveBufferBytes = 4096;
constexpr int EndsOfFault = 3;
constexpr double CrowdSeconds = 75;

void execute(Target &Self, Channel &To, const HttpMessage &Request) {
  Self.answer(To, Request, std::string(AnswerBytes, 'x'));
}

struct Pipeliner {
  std::unique_ptr<Channel> Connection;
  std::string Unsent;
};

std::string makeRequest() {
  return std::string("GET /history/1 HTTP/1.1\r\nHost: ") + RouteHost + "\r\n" +
         std::string(wire::AttemptId) + ": " + newCallId() + "\r\n" +
         std::string(wire::DeadlineMs) +
         ": 12000\r\nFiller: " + std::string(FillBytes, 'f') + "\r\n\r\n";
}

void press(Relay &Host, const std::atomic<bool> &IsOver, bool MayPipeline) {
  std::vector<Pipeliner> Crowd(ClientsOfRelay);
  while (!IsOver) {
    int Opened = 0;
    for (Pipeliner &Each : Crowd) {
      if (!Each.Connection && Opened < 200 && Host.isRunning()) {
        Each.Connection =
            Channel::connect(Host.ip(), FrontPort, ReceiveBufferBytes);
        Each.Unsent = makeRequest();
        ++Opened;
      }
      if (!Each.Connection)
        continue;
      // An ordinary client waits for its answer before it sends again.
      if (Each.Unsent.empty() && MayPipeline)
        Each.Unsent = makeRequest();
      auto Sent = Each.Connection->sendNow(Each.Unsent);
      if (Sent)
        Each.Unsent.erase(0, *Sent);
      else
        Each.Connection.reset();
    }
    sleepFor(0.002);
  }
}

std::optional<bool> play(Record &Log, bool HasTrouble) {
  auto &Platform = keep<Store>();
  for (int I = 0; I < 3; ++I) {
    Target::Options Options;
    Options.Id = "i-" + std::to_string(I);
    Options.Service = "records";
    Options.IsLogged = false;
    keep<Target>(Platform, Log, Options, execute);
  }
  Platform.putConfig(
      makeConfig({makeRoute("history", "idempotent", "records")}, {"records"}));
  std::vector<Relay *> Fleet;
  for (int I = 0; I < Relays; ++I)
    Fleet.push_back(&keep<Relay>(Platform, Log, "host-" + std::to_string(I),
                                 "zone-" + std::to_string(I), SmallMachine));
  for (Relay *Each : Fleet)
    if (!Each->start())
      return std::nullopt;
  auto &Watch = keep<MemoryWatch>(Fleet, Log);
  constexpr double SettleSeconds = 4;
  sleepFor(SettleSeconds);
  auto &IsOver = keep<std::atomic<bool>>(false);
  Log.add(std::to_string(ClientsOfRelay) + " clients of each relay " +
          (HasTrouble ? "send requests ahead and read nothing"
                      : "send one request each and read nothing"));
  std::vector<std::thread> Crowds;
  for (Relay *Each : Fleet)
    Crowds.emplace_back(
        [Each, &IsOver, HasTrouble] { press(*Each, IsOver, HasTrouble); });
  auto HaveAllFallen = [&Watch] {
    auto Ended = Watch.ended();
    return std::all_of(Ended.begin(), Ended.end(),
                       [](int Times) { return Times >= EndsOfFault; });
  };
  constexpr double CalmSeconds = 20;
  for (double End = now() + (HasTrouble ? CrowdSeconds : CalmSeconds);
       now() < End && !HaveAllFallen(); sleepFor(0.1))
    for (Relay *Each : Fleet)
      if (!Each->isRunning()) {
        constexpr double RestartSeconds = 1;
        sleepFor(RestartSeconds);
        Each->start();
      }
  IsOver = true;
  for (std::thread &Each : Crowds)
    Each.join();
  std::vector<int> Ended = Watch.ended();
  Log.add("ends for want of memory: " + std::to_string(Ended[0]) + " and " +
              std::to_string(Ended[1]) + "; most memory held " +
              std::to_string(Watch.peak() / 1024 / 1024) + " MB",
          true);
  return !HaveAllFallen();
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
