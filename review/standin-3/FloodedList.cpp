/// \file
/// Another writer adds unreadable entries to the list of targets for some
/// seconds. Then a target leaves: does the relay learn of it in time?

#include "Rig.h"

#include "../../platform/WireNames.h"

#include <atomic>
#include <thread>

using namespace bergamothook::review;
namespace wire = bergamothook::platform::wire;

namespace {

constexpr int Clients = 12;
/// recordBytes is 262,144; partitionMbS is 20.
constexpr int Entries = 100;
constexpr std::size_t EntryBytes = 250'000;
constexpr double EntrySeconds = 0.02;
constexpr double DrainSeconds = 2;
/// How much longer the target serves than it has to.
constexpr double ExtraSeconds = 1;
constexpr double WorkSeconds = 0.1;

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
  std::atomic<int> Lost{0};
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
        if (!Answer || Answer->status() != 200)
          ++Lost;
        sleepFor(0.02);
      }
    });
  sleepFor(1);
  if (HasTrouble)
    Log.add("another writer adds " + std::to_string(Entries) + " entries of " +
            std::to_string(EntryBytes) + " bytes that can't be read");
  for (int I = 0; I < Entries; ++I) {
    if (HasTrouble)
      Platform.put(wire::TargetTopic, "odd-" + std::to_string(I % 40),
                   std::string(EntryBytes, '\x7f'));
    sleepFor(EntrySeconds);
  }
  Target &Leaver = *Service[0];
  Leaver.leave();
  double LeftAt = now();
  sleepFor(DrainSeconds + ExtraSeconds);
  int LostBefore = Lost;
  Leaver.crash();
  sleepFor(0.5);
  int LostAtEnd = Lost - LostBefore;
  IsOver = true;
  for (std::thread &Each : Callers)
    Each.join();
  int Late = 0;
  for (const Target::Execution &Each : Leaver.executions())
    if (SentAt.contains(Each.CallId) &&
        SentAt[Each.CallId] > LeftAt + DrainSeconds)
      ++Late;
  Log.add("sent more than drainMs after the store had the entry of i-0, and "
          "executed by i-0: " +
              std::to_string(Late) +
              "; orders without an outcome as it ended: " +
              std::to_string(LostAtEnd),
          true);
  return Late == 0;
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
