/// \file
/// All relays are killed once while a team spends its prepaid tokens. Is what
/// is left of them still to be had afterwards?

#include "Rig.h"

#include "../../platform/WireNames.h"

#include <cmath>
#include <mutex>
#include <thread>

using namespace bergamothook::review;
namespace wire = bergamothook::platform::wire;

namespace {

constexpr int Relays = 3;
constexpr int PaidTokens = 100'000;
constexpr int PromptTokens = 930;
constexpr int EventsOfAnswer = 10;
constexpr int TokensPerEvent = 7;
constexpr int MaxAnswerTokens = EventsOfAnswer * TokensPerEvent;
constexpr int RequestTokens = PromptTokens + MaxAnswerTokens;
constexpr double RequestsPerSecond = 6;
constexpr double RecoveringPerSecond = 4;
constexpr double KillAfter = 5;
constexpr double DownSeconds = 1;
/// recoverS of the small deployments.
constexpr double RecoverSeconds = 12;
/// A request is owed if it fits into this part of the paid tokens.
constexpr double OwedPart = 0.97;
constexpr const char *Key = "key-of-team-a";

void executeStream(Target &Self, Channel &To, const HttpMessage &Request) {
  Self.beginStream(To, Request);
  for (int Id = 1; Id <= EventsOfAnswer; ++Id) {
    std::string Event = "id: " + std::to_string(Id) + "\ndata: token\n\n";
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    if (!To.send(Size + Event + "\r\n"))
      return;
    sleepFor(0.005);
  }
  To.send("0\r\n\r\n");
}

struct Totals {
  std::mutex Lock;
  int Sent = 0;
  int Served = 0;
  /// Input tokens of the requests that may have run, and the output delivered.
  int Spent = 0;
  std::map<int, int> ByStatus;
};

void callOnce(const Relay &Host, Totals &Sum, Record &Log) {
  Client Caller(Host.ip());
  Client::Call Call;
  Call.Path = "/report/1";
  Call.DeadlineMs = 4000;
  Call.Body = "please report";
  std::string Part = newCallId();
  Call.Fields = std::string(wire::Authorization) + ": Bearer " + Key + "\r\n" +
                std::string(wire::TokenCounts) + ": " +
                std::to_string(PromptTokens) + "," +
                std::to_string(MaxAnswerTokens) + "\r\n" +
                std::string(wire::Model) + ": m\r\n" +
                std::string(wire::PromptParts) + ": aa:900," + Part + ":30\r\n";
  std::string Id = Caller.send(Call);
  int Status = 0;
  int Events = 0;
  bool IsComplete = false;
  if (!Id.empty())
    if (auto Head = Caller.channel()->readHead()) {
      Status = Head->status();
      while (Status == 200 && !IsComplete) {
        auto Chunk = Caller.channel()->readChunk();
        if (!Chunk)
          break;
        IsComplete = Chunk->empty();
        for (std::size_t At = Chunk->find("id: "); At != std::string::npos;
             At = Chunk->find("id: ", At + 1))
          ++Events;
      }
    }
  Log.add("client gets " + std::to_string(Status) + " for " + Id + ", " +
          std::to_string(Events) + " events");
  std::lock_guard Guard(Sum.Lock);
  ++Sum.Sent;
  ++Sum.ByStatus[Status];
  Sum.Served += IsComplete ? 1 : 0;
  // Without an answer, it may have run.
  if (Status == 200 || Status == 0)
    Sum.Spent += PromptTokens + Events * TokensPerEvent;
}

void load(const std::vector<Relay *> &Fleet, double Seconds, double PerSecond,
          Totals &Sum, Record &Log) {
  double Until = now() + Seconds;
  std::vector<std::thread> Callers;
  for (std::size_t I = 0; now() < Until; ++I) {
    Callers.emplace_back(
        [&, I] { callOnce(*Fleet[I % Fleet.size()], Sum, Log); });
    sleepFor(1 / PerSecond);
  }
  for (std::thread &Each : Callers)
    Each.join();
}

std::string describe(const Totals &Sum) {
  std::string Text = std::to_string(Sum.Served) + " of " +
                     std::to_string(Sum.Sent) + " served (";
  for (const auto &[Status, Count] : Sum.ByStatus)
    Text += " " + std::to_string(Status) + ": " + std::to_string(Count);
  return Text + " )";
}

std::optional<bool> play(Record &Log, bool HasTrouble) {
  auto &Platform = keep<Store>();
  std::vector<Relay *> Fleet;
  for (int I = 0; I < Relays; ++I) {
    std::string Domain = "zone-" + std::to_string(I);
    Target::Options Options;
    Options.Id = "i-" + std::to_string(I);
    Options.Service = "models";
    Options.Domain = Domain;
    keep<Target>(Platform, Log, Options, executeStream);
    Fleet.push_back(
        &keep<Relay>(Platform, Log, "host-" + std::to_string(I), Domain));
  }
  RouteOptions Options;
  Options.IsPublic = false;
  Options.HasPrompt = true;
  auto Config = makeConfig(
      {makeRoute("report", "streaming", "models", Options)}, {"models"});
  Config["services"][0]["engine"] = {{"slots", 64}, {"stride", TokensPerEvent}};
  Config["tenants"] = {
      {{"name", "team-a"}, {"apiKeys", {Key}}, {"reserved", PaidTokens}}};
  Platform.putConfig(Config);
  auto StartAll = [&Fleet] {
    bool AreReady = true;
    for (Relay *Each : Fleet)
      AreReady &= Each->start();
    return AreReady;
  };
  if (!StartAll())
    return std::nullopt;
  constexpr double SettleSeconds = 4;
  sleepFor(SettleSeconds);

  Totals Before;
  load(Fleet, KillAfter, RequestsPerSecond, Before, Log);
  if (HasTrouble) {
    Log.add("all relays are killed");
    for (Relay *Each : Fleet)
      Each->kill();
    sleepFor(DownSeconds);
    if (!StartAll())
      return std::nullopt;
  }
  Log.add("before the fault: " + describe(Before), true);
  Totals Recovering;
  load(Fleet, RecoverSeconds, RecoveringPerSecond, Recovering, Log);
  Log.add("while the fleet recovers: " + describe(Recovering), true);
  int Spent = Before.Spent + Recovering.Spent;
  auto Owed = static_cast<int>(
      std::floor((OwedPart * PaidTokens - Spent) / RequestTokens));
  Log.add(std::to_string(Spent) + " of " + std::to_string(PaidTokens) +
              " tokens are spent at the most; " + std::to_string(Owed) +
              " more requests fit",
          true);
  constexpr int MinOwed = 8;
  if (Owed < MinOwed)
    return std::nullopt;
  Totals After;
  for (int I = 0; I < Owed; ++I) {
    callOnce(*Fleet[I % Fleet.size()], After, Log);
    sleepFor(0.2);
  }
  Log.add("later than recoverS after the relays were back: " + describe(After),
          true);
  bool WasServed = 4 * Before.Served >= Before.Sent;
  return !WasServed || 4 * After.Served >= After.Sent;
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
