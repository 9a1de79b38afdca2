/// \file
/// A target that is cut off from the store crashes and starts again, as another
/// software version. Later another target crashes: where do its streams go on?

#include "Rig.h"

#include "../../platform/WireNames.h"

#include <algorithm>
#include <thread>

using namespace bergamothook::review;
namespace wire = bergamothook::platform::wire;

namespace {

constexpr int Targets = 5;
constexpr int Relays = 3;
constexpr int Streams = 180;
constexpr int EventsOfStream = 60;
constexpr double EventSeconds = 0.1;
/// The store removes the entry of a target after three heartbeats of silence.
constexpr double EntryLife = 3.6;
constexpr int MaxMixedStreams = 2;

void executeStream(Target &Self, Channel &To, const HttpMessage &Request) {
  int Last = std::atoi(Request.find(wire::LastEventId).value_or("0").c_str());
  Self.beginStream(To, Request);
  for (int Id = Last + 1; Id <= EventsOfStream; ++Id) {
    if (!Self.isAlive())
      return;
    std::string Event = "id: " + std::to_string(Id) + "\ndata: written by " +
                        Self.options().Version + "\n\n";
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    if (!To.send(Size + Event + "\r\n"))
      return;
    sleepFor(EventSeconds);
  }
  To.send("0\r\n\r\n");
}

struct Received {
  std::string Id;
  std::string Bytes;
  bool IsComplete = false;

  bool has(const std::string &Version) const {
    return this->Bytes.find("written by " + Version) != std::string::npos;
  }
};

Received readStream(const std::string &Ip) {
  Client Caller(Ip);
  Received Stream;
  Client::Call Call;
  Call.Path = "/guidance/1";
  Call.Body = "how is the valve repaired?";
  Stream.Id = Caller.send(Call);
  if (Stream.Id.empty() || !Caller.channel()->readHead())
    return Stream;
  while (auto Chunk = Caller.channel()->readChunk()) {
    Stream.IsComplete = Chunk->empty();
    if (Stream.IsComplete)
      break;
    Stream.Bytes += *Chunk;
  }
  return Stream;
}

std::optional<bool> play(Record &Log, bool HasTrouble) {
  auto &Platform = keep<Store>();
  std::vector<Target *> Service;
  for (int I = 0; I < Targets; ++I) {
    Target::Options Options;
    Options.Id = "i-" + std::to_string(I);
    Options.Service = "models";
    Service.push_back(&keep<Target>(Platform, Log, Options, executeStream));
  }
  RouteOptions Resumable;
  Resumable.IsResumable = true;
  Resumable.Attempts = 2;
  Platform.putConfig(makeConfig(
      {makeRoute("guidance", "streaming", "models", Resumable)}, {"models"}));
  std::vector<Relay *> Fleet;
  for (int I = 0; I < Relays; ++I)
    Fleet.push_back(&keep<Relay>(Platform, Log, "host-" + std::to_string(I),
                                 "zone-" + std::to_string(I)));
  for (Relay *Each : Fleet)
    if (!Each->start())
      return std::nullopt;
  constexpr double SettleSeconds = 8;
  sleepFor(SettleSeconds);

  Target &Reborn = *Service[1];
  // Right after a heartbeat, so that the entry stands for its whole life.
  while (now() - Reborn.listedAt() > 0.05)
    sleepFor(0.01);
  double CutAt = now();
  if (HasTrouble) {
    Log.add("i-1 is cut off from the store, and crashes");
    Reborn.cutOff();
    Reborn.crash();
  }
  constexpr double DownSeconds = 1.5;
  sleepFor(DownSeconds);
  if (HasTrouble) {
    Target::Options Options = Reborn.options();
    Options.Version = "v2";
    Options.Port = Reborn.port();
    Options.IsCutOff = true;
    Log.add("i-1 starts again behind the cut, as v2");
    keep<Target>(Platform, Log, Options, executeStream);
  }

  std::vector<Received> Got(Streams);
  std::vector<std::thread> Callers;
  for (int I = 0; I < Streams; ++I) {
    Callers.emplace_back(
        [&Got, &Fleet, I] { Got[I] = readStream(Fleet[I % Relays]->ip()); });
    sleepFor(0.002);
  }
  constexpr double CrashAfter = 2.8;
  sleepFor(std::max(0.0, CutAt + CrashAfter - now()));
  if (HasTrouble) {
    Log.add("i-0 crashes");
    Service[0]->cutOff();
    Service[0]->crash();
  }
  sleepFor(std::max(0.0, CutAt + EntryLife - now()));
  if (HasTrouble) {
    Log.add("the store removes the entry of i-1");
    Platform.put(wire::TargetTopic, "i-1", "");
  }
  for (std::thread &Each : Callers)
    Each.join();

  int Mixed = 0;
  int Complete = 0;
  for (const Received &Stream : Got) {
    Complete += Stream.IsComplete ? 1 : 0;
    if (!Stream.has("v1") || !Stream.has("v2"))
      continue;
    ++Mixed;
    Log.add("stream " + Stream.Id + " holds events of v1 and of v2");
  }
  Log.add(std::to_string(Complete) + " of " + std::to_string(Streams) +
              " streams were complete; " + std::to_string(Mixed) +
              " hold events of two versions",
          true);
  return Mixed <= MaxMixedStreams;
}

} // namespace

int main(int Count, char **Arguments) { runCase(Count, Arguments, play); }
