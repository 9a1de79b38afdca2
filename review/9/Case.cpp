/// \file
/// Two of twenty targets of a service go down and up by turns. One of them
/// comes back under its identifier with a newer software version, as its next
/// entry in the list says. Streams of the other one are to go on.

#include "../standin-2/Standin2.h"

#include "../../platform/WireNames.h"

#include <cstdlib>

namespace {

using namespace review;
namespace wire = bergamothook::platform::wire;

constexpr const char *Key = "n2ctnfzs989anu6wsjnb";
constexpr unsigned Slots = 64;
constexpr int Events = 54;
constexpr milliseconds EventInterval(24);
constexpr milliseconds Heartbeat(1200);
/// When a target that has started writes its first entry.
constexpr milliseconds FirstEntry(800);
/// How long the first target is down, and how long it is up again as the second
/// one goes down.
constexpr milliseconds DownTime(300);
constexpr milliseconds UpTime(400);
constexpr std::size_t TargetCount = 20;
constexpr std::size_t Streams = 4;
constexpr milliseconds StreamInterval(60);
/// More than two streams break the rule.
constexpr unsigned AllowedStreams = 2;

struct Target {
  std::string Id;
  std::string Address;
  std::string Version = "v1";
  std::int64_t Born = 0;
  unsigned Running = 0;
  std::unique_ptr<ServerLoop> Port;
};

std::string chunkOf(const std::string &Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

std::optional<Reply> answer(const HttpMessage &Request, Target &Serving,
                            Record &Out) {
  if (Request.target() == wire::TargetReportPath)
    return replyOf(200, "Content-Type: application/json\r\n",
                   nlohmann::json{{"born", Serving.Born}}.dump());
  if (Request.method() != "POST")
    return replyOf(200, "", "{}");
  std::string Id = Request.find(wire::AttemptId);
  std::string Last = Request.find(wire::LastEventId);
  int First = Last.empty() ? 1 : std::atoi(Last.c_str()) + 1;
  Out.line(Serving.Id + " (" + Serving.Version + ") runs " + Id +
           " from event " + std::to_string(First));
  Reply Stream;
  Stream.Pieces.push_back(
      {milliseconds(20),
       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
       "Transfer-Encoding: chunked\r\n" +
           std::string(wire::AttemptId) + ": " + Id + "\r\n" +
           std::string(wire::ServerStamp) + ": s-" + Serving.Id + "\r\n\r\n"});
  for (int Event = First; Event <= Events; ++Event)
    Stream.Pieces.push_back(
        {EventInterval, chunkOf("id: " + std::to_string(Event) +
                                "\ndata: from " + Serving.Version + "\n\n")});
  Stream.Pieces.push_back({milliseconds(0), "0\r\n\r\n"});
  ++Serving.Running;
  Stream.InProgress =
      std::shared_ptr<void>(nullptr, [&Serving](void *) { --Serving.Running; });
  return Stream;
}

/// Writes the entries of targets that are up, about once in a heartbeat.
class Registration {
public:
  Registration(Store &Platform, std::vector<Target> &Targets)
      : Platform(Platform), Targets(Targets), NextAt(Targets.size()),
        Thread([this] { this->run(); }) {}
  ~Registration() {
    this->IsStopping = true;
    this->Thread.join();
  }
  Registration(const Registration &) = delete;
  Registration &operator=(const Registration &) = delete;

  /// The target writes its next entry after \p Wait.
  void writeAfter(const Target &Writer, milliseconds Wait) {
    for (std::size_t I = 0; I < this->Targets.size(); ++I)
      if (&this->Targets[I] == &Writer)
        this->NextAt[I] = Clock::now() + Wait;
  }

  std::mutex Lock;

private:
  void run() {
    while (!this->IsStopping) {
      {
        std::lock_guard Guard(this->Lock);
        for (std::size_t I = 0; I < this->Targets.size(); ++I)
          this->writeIfDue(I);
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  void writeIfDue(std::size_t I) {
    const Target &Each = this->Targets[I];
    if (!Each.Port || Clock::now() < this->NextAt[I])
      return;
    this->NextAt[I] = Clock::now() + Heartbeat;
    auto Entry = nlohmann::json::parse(
        targetEntry("models", Each.Address, Slots, "ready"));
    Entry["version"] = Each.Version;
    Entry["born"] = Each.Born;
    this->Platform.put(wire::TargetTopic, Each.Id, Entry.dump());
  }

  Store &Platform;
  std::vector<Target> &Targets;
  std::vector<Clock::time_point> NextAt;
  std::atomic<bool> IsStopping = false;
  std::thread Thread;
};

struct StreamEnd {
  bool IsComplete = false;
  std::string Bytes;
};

StreamEnd requestStream(const std::string &Front, const std::string &Id) {
  Caller Client(Front);
  Client.send("POST /guidance/x HTTP/1.1\r\nHost: ficu95.example\r\n" +
              std::string(wire::AttemptId) + ": " + Id + "\r\n" +
              std::string(wire::Model) + ": m\r\n" +
              std::string(wire::TokenCounts) + ": 100,378\r\n" +
              std::string(wire::PromptParts) + ": 5c1e07a2:80," + Id +
              ":20\r\n" + std::string(wire::DeadlineMs) + ": 12000\r\n" +
              std::string(wire::Authorization) + ": Bearer " + Key +
              "\r\nContent-Length: 0\r\n\r\n");
  HttpMessage Answer;
  StreamEnd End;
  End.IsComplete = Client.read(Answer, milliseconds(12'000)) == 200;
  End.Bytes = End.IsComplete ? Answer.Body : Client.received();
  return End;
}

/// The targets, the platform and one relay.
class Fleet {
public:
  Fleet(const std::string &Folder, const std::string &Program, Record &Out)
      : Out(Out), Platform(this->Loop, loopbackIp(0)), Targets(TargetCount) {
    for (std::size_t I = 0; I < this->Targets.size(); ++I) {
      Target &Each = this->Targets[I];
      Each.Id = "i-" + std::to_string(I + 1);
      Each.Born = 1'790'000'000'000 + static_cast<std::int64_t>(I);
      Each.Address = loopbackIp(0) + ":0";
      this->open(Each);
    }
    this->Platform.put(wire::OperatorTopic, wire::ConfigKey,
                       readJson(Folder + "/manifest.json").dump());
    this->Loop.start();
    this->Registered.emplace(this->Platform, this->Targets);
    this->Relay.emplace(Program, "edge-1", loopbackIp(1),
                        this->Platform.address(), MachineLimits{},
                        makeFolder());
    this->Relay->start();
  }

  bool awaitReady() { return this->Relay->awaitReady(milliseconds(20'000)); }

  /// Starts streams that have a part in common, so that one target gets all.
  void startStreams(const std::string &Prefix) {
    this->Ends.assign(Streams, {});
    for (std::size_t I = 0; I < Streams; ++I) {
      this->Callers.emplace_back([this, Prefix, I] {
        this->Ends[I] = requestStream(this->Relay->frontAddress(),
                                      Prefix + std::to_string(100 + I));
      });
      std::this_thread::sleep_for(StreamInterval);
    }
    std::this_thread::sleep_for(milliseconds(300));
  }

  void awaitStreams() {
    for (std::thread &Each : this->Callers)
      Each.join();
    this->Callers.clear();
  }

  /// \returns the target at which all streams run; null if there is none.
  Target *busyTarget() {
    for (Target &Each : this->Targets)
      if (Each.Running == Streams)
        return &Each;
    return nullptr;
  }

  void takeDown(Target &Each) {
    std::lock_guard Guard(this->Registered->Lock);
    Each.Port.reset();
    this->Out.line(Each.Id + " is down");
  }

  /// Starts a new run of a target under its identifier.
  void takeUp(Target &Each, const std::string &Version) {
    std::lock_guard Guard(this->Registered->Lock);
    Each.Born += 5'000'000;
    Each.Version = Version;
    this->open(Each);
    this->Registered->writeAfter(Each, FirstEntry);
    this->Out.line(Each.Id + " is up again, version " + Version);
  }

  /// \returns how many streams hold events of two versions.
  unsigned countMixed() {
    unsigned Mixed = 0;
    for (const StreamEnd &End : this->Ends) {
      bool HasFirst = End.Bytes.find("from v1") != std::string::npos;
      bool HasSecond = End.Bytes.find("from v2") != std::string::npos;
      Mixed += HasFirst && HasSecond ? 1 : 0;
      this->Out.line(std::string("a stream was ") +
                     (End.IsComplete ? "complete" : "broken off") +
                     ", events of" + (HasFirst ? " v1" : "") +
                     (HasSecond ? " v2" : ""));
    }
    return Mixed;
  }

private:
  void open(Target &Each) {
    Each.Port = std::make_unique<ServerLoop>();
    Each.Address = Each.Port->listenAt(
        Each.Address,
        [this, &Each](const HttpMessage &Request, Clock::time_point) {
          return answer(Request, Each, this->Out);
        });
    Each.Port->start();
  }

  Record &Out;
  ServerLoop Loop;
  Store Platform;
  std::vector<Target> Targets;
  std::optional<Registration> Registered;
  std::optional<RelayProcess> Relay;
  std::vector<std::thread> Callers;
  std::vector<StreamEnd> Ends;
};

int runCase(const std::string &Folder, const std::string &Program,
            bool HasTrouble) {
  Record Out(Folder + "/record.txt");
  Fleet Site(Folder, Program, Out);
  if (!Site.awaitReady()) {
    Out.line("the relay did not become ready");
    return 2;
  }
  constexpr milliseconds CalmTime(8000);
  std::this_thread::sleep_for(CalmTime);
  // The first turn shows which target gets the streams, and which one gets them
  // after it.
  Site.startStreams("ab");
  Target *First = Site.busyTarget();
  Target *Second = nullptr;
  if (First) {
    Site.takeDown(*First);
    std::this_thread::sleep_for(DownTime);
    Second = Site.busyTarget();
    Site.takeUp(*First, "v1");
  }
  Site.awaitStreams();
  if (!First || !Second || Site.countMixed() > 0) {
    Out.line("the streams were not all at one target");
    return 2;
  }
  std::this_thread::sleep_for(CalmTime);
  Site.startStreams("cd");
  if (Site.busyTarget() != First) {
    Site.awaitStreams();
    Out.line("the streams were not at the same target again");
    return 2;
  }
  Site.takeDown(*Second);
  std::this_thread::sleep_for(DownTime);
  Site.takeUp(*Second, HasTrouble ? "v2" : "v1");
  std::this_thread::sleep_for(UpTime);
  Site.takeDown(*First);
  Site.awaitStreams();
  unsigned Mixed = Site.countMixed();
  Out.line("streams that hold events of two versions: " +
           std::to_string(Mixed));
  return Mixed > AllowedStreams ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  const char *Trouble = std::getenv("TROUBLE");
  return runCase(Arguments[1], Arguments[2],
                 !Trouble || std::string(Trouble) != "0");
}
