/// \file
/// The store turns some machines away while a new version of the software of
/// the targets comes into service, and callers resume streams at one of them.

#include "../standin/Standin.h"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr unsigned Zones = 3;
constexpr unsigned MachinesPerZone = 3;
/// The machines that the store turns away, by zone.
constexpr unsigned TurnedAway[Zones] = {3, 2, 3};
constexpr unsigned Streams = 48;
constexpr unsigned MaxMixed = 2;
constexpr unsigned Events = 20;
constexpr Milliseconds EventPause{150};
constexpr Milliseconds CallerDeadline{8000};

unsigned lastEvent(const Message &Request) {
  return static_cast<unsigned>(
      std::stoul(Request.find("Last-Event-Id").value_or("0")));
}

/// Writes the events after the one that the request names, each with the
/// version of the software that made it.
void sendStream(const Message &Request, Channel &From, Target &Own) {
  unsigned Run = Own.run();
  std::string Version = Own.version();
  From.send(answerHead(Request, 200, "text/event-stream") +
            "Transfer-Encoding: chunked\r\n\r\n");
  for (unsigned I = lastEvent(Request) + 1; I <= Events; ++I) {
    if (Own.run() != Run)
      return From.reset();
    if (!From.send(chunk("id: " + std::to_string(I) + "\ndata: piece " +
                         std::to_string(I) + " made by " + Version + "\n\n")))
      return;
    std::this_thread::sleep_for(EventPause);
  }
  From.send(chunk(""));
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// \returns the number of the last event in \p Body that is complete.
unsigned lastEventIn(const std::string &Body) {
  std::size_t End = Body.rfind("\n\n");
  std::size_t At =
      End == std::string::npos ? std::string::npos : Body.rfind("id: ", End);
  return At == std::string::npos
             ? 0
             : static_cast<unsigned>(std::stoul(Body.substr(At + 4)));
}

/// Sends a request for a stream. \returns whether its answer is complete.
bool callOnce(const std::string &Front, const std::string &Id,
              const std::string &Fields, Message &Answer) {
  auto Caller = Channel::connect(Front);
  return Caller &&
         Caller->send(callerRequest("POST", "/chat/1", Id, CallerDeadline,
                                    Fields, "prompt")) &&
         Caller->read(Answer, true, Clock::now() + CallerDeadline) ==
             ReadEnd::Complete;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  const std::string Folder = Arguments[2];
  Record Log(Arguments[1]);
  Store Platform;
  Platform.putManifest();
  auto MakeTarget = [&](const std::string &Id, const std::string &Version) {
    // The handler refers to the target, which is not made yet.
    auto Place = std::make_shared<std::unique_ptr<Target>>();
    *Place = std::make_unique<Target>(
        Platform, Id, "models",
        [&Log, Place](const Message &Request, Channel &From) {
          Target &Own = **Place;
          Log.line("target " + Own.id() + " with software " + Own.version() +
                   " runs a stream after event " +
                   std::to_string(lastEvent(Request)));
          sendStream(Request, From, Own);
        },
        Version);
    return Place;
  };
  auto First = MakeTarget("i-model1", "v1");
  std::vector<std::unique_ptr<Relay>> Hosts;
  std::vector<Relay *> All;
  for (unsigned Zone = 1; Zone <= Zones; ++Zone)
    for (unsigned Number = 1; Number <= MachinesPerZone; ++Number) {
      bool IsOther = TurnedAway[Zone - 1] == Number;
      Hosts.push_back(std::make_unique<Relay>(IsOther ? Platform.otherAddress()
                                                      : Platform.address(),
                                              Zone, Number, Folder));
      All.push_back(Hosts.back().get());
      All.back()->start();
    }
  if (!waitUntilReady(All, Milliseconds(20000)))
    return 2;
  std::this_thread::sleep_for(Milliseconds(10000));

  const std::string Begin = All[0]->front();
  const std::string Resume = All[TurnedAway[0] - 1]->front();
  if (hasTrouble()) {
    Log.line("the store turns 3 of 9 machines away");
    Platform.setTurningAway(true);
  }
  std::this_thread::sleep_for(Milliseconds(500));
  Log.line("target i-model2 starts with software v2");
  auto Second = MakeTarget("i-model2", "v2");
  std::this_thread::sleep_for(Milliseconds(4000));

  std::atomic<unsigned> Mixed = 0;
  std::atomic<unsigned> Complete = 0;
  std::vector<std::thread> Callers;
  for (unsigned I = 0; I < Streams; ++I)
    Callers.emplace_back([&, I] {
      std::string Id = "stream-" + std::to_string(I);
      std::string Fields = promptFields("91bd3f" + std::to_string(I));
      Message Answer;
      bool IsComplete = callOnce(Begin, Id, Fields, Answer);
      std::string Body = Answer.Body;
      unsigned Last = lastEventIn(Body);
      Log.line("caller " + Id + ": " + Answer.StartLine + ", " +
               (IsComplete ? "complete" : "broken off") + " after event " +
               std::to_string(Last));
      if (!IsComplete && Last > 0) {
        Message Rest;
        IsComplete =
            callOnce(Resume, Id + "-again",
                     Fields + "Last-Event-Id: " + std::to_string(Last) +
                         "\r\nResumes: " + Id + "\r\n",
                     Rest);
        Body += Rest.Body;
        Log.line("caller " + Id +
                 " resumes it at another machine: " + Rest.StartLine);
      }
      bool IsMixed =
          contains(Body, "made by v1") && contains(Body, "made by v2");
      Mixed += IsMixed ? 1 : 0;
      Complete += IsComplete ? 1 : 0;
      if (IsMixed)
        Log.line("caller " + Id + " holds events of v1 and of v2");
    });
  std::this_thread::sleep_for(Milliseconds(1000));
  if (hasTrouble()) {
    Log.line("target i-model2 crashes");
    (*Second)->crash();
  }
  std::this_thread::sleep_for(Milliseconds(2000));
  if (hasTrouble()) {
    Log.line("the store serves all machines");
    Platform.setTurningAway(false);
  }
  for (std::thread &Each : Callers)
    Each.join();
  Log.line(std::to_string(Mixed) + " of " + std::to_string(Streams) +
           " streams hold events of two versions");
  bool IsBroken = Mixed > MaxMixed;
  Log.line(IsBroken ? "rule broken" : "rule held");
  std::cout << (IsBroken ? "broken" : "held") << std::endl;
  for (Relay *Each : All) {
    Each->signal(SIGKILL);
    while (!Each->ended())
      std::this_thread::sleep_for(Milliseconds(10));
  }
  if (!IsBroken && !hasTrouble() && Complete < Streams)
    std::_Exit(2);
  std::_Exit(IsBroken ? 1 : 0);
}
