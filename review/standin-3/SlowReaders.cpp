/// \file
/// Clients that read large answers slowly but steadily, well within their
/// deadline.

#include "Rig.h"

#include <algorithm>
#include <thread>

using namespace bergamothook::review;

namespace {

constexpr int Clients = 8;
constexpr std::size_t AnswerBytes = 200'000;
constexpr std::size_t StepBytes = 2'000;
constexpr double StepSeconds = 0.1;
constexpr int ReceiveBufferBytes = 16 * 1024;
constexpr int MaxCut = 3;

void execute(Target &Self, Channel &To, const HttpMessage &Request) {
  bool IsLarge = Request.path().ends_with("/large");
  Self.answer(To, Request,
              IsLarge ? std::string(AnswerBytes, 'x') : std::string("ok"));
}

/// \returns how many bytes of the large answer arrived.
std::size_t callOnce(const std::string &Ip, bool IsSlow, Record &Log) {
  Client Caller(Ip, ReceiveBufferBytes);
  Client::Call Call;
  Call.Method = "GET";
  Call.Path = "/history/small";
  if (!Caller.exchange(Call))
    return 0;
  Call.Path = "/history/large";
  double Begin = now();
  std::string Id = Caller.send(Call);
  Log.add("client sends " + Id + " on its kept connection");
  auto Head = Caller.channel()->readHead();
  if (!Head || Head->status() != 200)
    return 0;
  std::size_t Got = 0;
  while (Got < AnswerBytes) {
    std::string Bytes = Caller.channel()->readSome(StepBytes);
    if (Bytes.empty())
      break;
    Got += Bytes.size();
    if (IsSlow)
      sleepFor(StepSeconds);
  }
  char Text[128];
  std::snprintf(Text, sizeof(Text), "%s: %zu of %zu bytes after %.1f s%s",
                Id.c_str(), Got, AnswerBytes, now() - Begin,
                Got < AnswerBytes ? ", then the connection was reset" : "");
  Log.add(Text, true);
  return Got;
}

std::optional<bool> play(Record &Log, bool HasTrouble) {
  auto &Platform = keep<Store>();
  Target::Options Options;
  Options.Id = "i-0";
  Options.Service = "records";
  auto &Server = keep<Target>(Platform, Log, Options, execute);
  RouteOptions Route;
  Route.Attempts = 2;
  Platform.putConfig(makeConfig(
      {makeRoute("history", "idempotent", "records", Route)}, {"records"}));
  auto &Host = keep<Relay>(Platform, Log, "host-0", "zone-a");
  if (!Host.start())
    return std::nullopt;
  constexpr double SettleSeconds = 4;
  sleepFor(SettleSeconds);
  std::vector<std::size_t> Got(Clients);
  std::vector<std::thread> Callers;
  for (int I = 0; I < Clients; ++I)
    Callers.emplace_back([&Got, &Host, &Log, HasTrouble, I] {
      Got[I] = callOnce(Host.ip(), HasTrouble, Log);
    });
  for (std::thread &Each : Callers)
    Each.join();
  if (!Host.isRunning() || Server.executions().size() < Clients)
    return std::nullopt;
  auto Cut = std::count_if(Got.begin(), Got.end(), [](std::size_t Bytes) {
    return Bytes < AnswerBytes;
  });
  Log.add(std::to_string(Cut) + " of " + std::to_string(Clients) +
              " answers were cut off",
          true);
  return Cut <= MaxCut;
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
