/// \file
/// A target leaves, and says so in the store and in its answers. The store does
/// not answer the relay meanwhile.

#include "Rig.h"

#include <atomic>
#include <thread>

using namespace bergamothook::review;

namespace {

constexpr int Clients = 4;
constexpr double DrainSeconds = 2;
/// How much longer the target serves than it has to.
constexpr double ExtraSeconds = 1;
constexpr double WorkSeconds = 0.03;
constexpr const char *Leaving = "Server-Leaving";

void execute(Target &Self, Channel &To, const HttpMessage &Request) {
  sleepFor(WorkSeconds);
  if (Self.isAlive())
    Self.answer(To, Request, "done");
}

std::optional<bool> play(Record &Log, bool HasTrouble) {
  auto &Platform = keep<Store>();
  std::vector<Target *> Service;
  for (int I = 0; I < 3; ++I) {
    Target::Options Options;
    Options.Id = "i-" + std::to_string(I);
    Options.Service = "orders";
    Service.push_back(&keep<Target>(Platform, Log, Options, execute));
  }
  Platform.putConfig(
      makeConfig({makeRoute("order", "non_idempotent", "orders")}, {"orders"}));
  auto &Host = keep<Relay>(Platform, Log, "host-0", "zone-a");
  if (!Host.start())
    return std::nullopt;
  constexpr double SettleSeconds = 4;
  sleepFor(SettleSeconds);
  std::atomic<bool> IsOver{false};
  std::atomic<double> PassedOnAt{0};
  std::atomic<int> LostOrders{0};
  std::mutex Lock;
  std::map<std::string, double> SentAt;
  std::vector<std::thread> Callers;
  for (int I = 0; I < Clients; ++I)
    Callers.emplace_back([&] {
      Client Caller(Host.ip());
      while (!IsOver) {
        Client::Call Call;
        Call.Path = "/order/1";
        Call.Body = "one valve";
        Call.DeadlineMs = 1500;
        double Begin = now();
        std::string Id = Caller.send(Call);
        {
          std::lock_guard Guard(Lock);
          SentAt[Id] = Begin;
        }
        auto Answer =
            Id.empty() ? std::nullopt : Caller.channel()->readMessage();
        Log.add("client gets " +
                (Answer ? std::to_string(Answer->status()) : "no answer") +
                " for " + Id);
        if (!Answer || Answer->status() == 502)
          ++LostOrders;
        if (Answer && Answer->find(Leaving) && PassedOnAt == 0)
          PassedOnAt = now();
        sleepFor(0.02);
      }
    });
  sleepFor(1);
  if (HasTrouble) {
    Log.add("the store does not answer the relay any more");
    Platform.setSilent(Host.storePort(), true);
  }
  sleepFor(1);
  Target &Leaver = *Service[0];
  Leaver.leave(std::string(Leaving) + ": 1\r\n");
  sleepFor(DrainSeconds + ExtraSeconds);
  int LostBefore = LostOrders;
  Leaver.crash();
  sleepFor(0.5);
  IsOver = true;
  for (std::thread &Each : Callers)
    Each.join();
  if (HasTrouble && PassedOnAt == 0)
    return std::nullopt;
  int Late = 0;
  for (const Target::Execution &Each : Leaver.executions())
    if (PassedOnAt > 0 && SentAt.contains(Each.CallId) &&
        SentAt[Each.CallId] > PassedOnAt + DrainSeconds)
      ++Late;
  Log.add("sent more than drainMs after an answer of i-0 with " +
              std::string(Leaving) +
              " was passed on, and executed by i-0: " + std::to_string(Late) +
              "; orders without an outcome as it ended: " +
              std::to_string(LostOrders - LostBefore),
          true);
  return Late == 0;
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
