/// \file
/// Another writer has left many large entries that can't be read in the list of
/// targets. Then the relays are stopped and started, one after the other.

#include "Rig.h"

#include "../../platform/WireNames.h"

#include <algorithm>

using namespace bergamothook::review;
namespace wire = bergamothook::platform::wire;

namespace {

constexpr int Relays = 2;
constexpr MachineSize SmallMachine{120, 3075};
constexpr int Entries = 560;
/// recordBytes is 262,144.
constexpr std::size_t EntryBytes = 250'000;
constexpr int StartsTried = 3;
constexpr int EndsOfFault = 3;

void execute(Target &Self, Channel &To, const HttpMessage &Request) {
  Self.answer(To, Request, "done");
}

int serve(Relay &Host, int Orders) {
  int Served = 0;
  Client Caller(Host.ip());
  for (int I = 0; I < Orders; ++I) {
    Client::Call Call;
    Call.Path = "/order/1";
    Call.Body = "one valve";
    Call.DeadlineMs = 1500;
    auto Answer = Caller.exchange(Call);
    Served += Answer && Answer->status() == 200 ? 1 : 0;
    sleepFor(0.02);
  }
  return Served;
}

std::optional<bool> play(Record &Log, bool HasTrouble) {
  auto &Platform = keep<Store>();
  for (int I = 0; I < 3; ++I) {
    Target::Options Options;
    Options.Id = "i-" + std::to_string(I);
    Options.Service = "orders";
    keep<Target>(Platform, Log, Options, execute);
  }
  Platform.putConfig(
      makeConfig({makeRoute("order", "non_idempotent", "orders")}, {"orders"}));
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
  if (HasTrouble) {
    Log.add("another writer adds " + std::to_string(Entries) + " entries of " +
            std::to_string(EntryBytes) + " bytes that can't be read");
    for (int I = 0; I < Entries; ++I) {
      Platform.put(wire::TargetTopic, "odd-" + std::to_string(I),
                   std::string(EntryBytes, '\x7f'));
      sleepFor(0.015);
    }
  }
  constexpr int Orders = 20;
  for (Relay *Each : Fleet)
    Log.add(Each->name() + " serves " + std::to_string(serve(*Each, Orders)) +
                " of " + std::to_string(Orders) + " orders",
            true);
  // Planned work: one after the other. The platform starts a process again
  // that it has ended.
  for (Relay *Each : Fleet) {
    Each->stop();
    constexpr double StartSeconds = 9;
    constexpr double RestartSeconds = 1;
    for (int I = 0; I < StartsTried && !Each->start(StartSeconds); ++I)
      sleepFor(RestartSeconds);
  }
  for (Relay *Each : Fleet)
    Log.add(Each->name() + " serves " + std::to_string(serve(*Each, Orders)) +
                " of " + std::to_string(Orders) + " orders after the stops",
            true);
  std::vector<int> Ended = Watch.ended();
  int Fallen =
      static_cast<int>(std::count_if(Ended.begin(), Ended.end(), [](int Times) {
        return Times >= EndsOfFault;
      }));
  Log.add(
      "relays that were ended three times or more: " + std::to_string(Fallen) +
          " of " + std::to_string(Relays) + "; most memory held " +
          std::to_string(Watch.peak() / 1024 / 1024) + " MB",
      true);
  return Fallen < 2;
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
