/// \file
/// Simulation of hosts that send requests to targets, some of which crash when
/// they begin to answer a request with a deadly part.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAY_CRASHFLEET_H
#define BERGAMOTHOOK_TESTS_LIBRELAY_CRASHFLEET_H

#include "LibBase/Random.h"
#include "LibRelay/QuarantineExchange.h"

#include <memory>

namespace bergamothook {

struct CrashFleetSettings {
  int Hosts = 9;
  int Targets = 18;
  /// Kinds of requests; all requests of a kind share their first part.
  int Kinds = 3;
  /// Second parts that the requests of a kind share.
  int Subjects = 20;
  double RequestsPerSecond = 120;
  /// Requests with a deadly part, for each kind that has one.
  double DeadlyPerSecond = 1;
  int DeadlyKinds = 1;
  /// All deadly requests of a kind have the same subject.
  bool HasDeadlySubject = false;
  /// The time until a target begins its answer.
  Duration MinWork = std::chrono::milliseconds(50);
  Duration MaxWork = std::chrono::milliseconds(900);
  Duration TargetRestartTime = std::chrono::seconds(3);
  /// Lost messages between hosts, per hundred.
  std::uint64_t LostPerCent = 0;
  QuarantinePolicy Policy;
};

struct CrashFleetResults {
  int SoundRequests = 0;
  int SoundRefused = 0;
  /// Crashes that requests of the deadly kind caused, and sends of such
  /// requests later than the allowed time after the fifth crash.
  std::vector<int> Crashes;
  std::vector<int> LateSends;
  std::uint64_t Messages = 0;
  std::uint64_t LogReports = 0;
  std::size_t MostTraits = 0;
};

class CrashFleet {
public:
  CrashFleet(CrashFleetSettings Settings, std::uint64_t Seed);

  void runFor(Duration Span);

  /// Crashes this share of the targets, for another reason than a request.
  void crashTargets(double Share);
  void setStoreOut(bool IsOut) { this->IsStoreOut = IsOut; }
  /// Cuts the hosts with indices below \p Below off from the others and from
  /// the store.
  void split(int Below) { this->SplitBelow = Below; }
  /// Starts a new process of a host.
  void restart(int Host);
  /// Sends requests with made-up parts that are always lost.
  void setMadeUpPerSecond(double Rate) { this->MadeUpPerSecond = Rate; }
  /// The deadly part of a kind no longer crashes targets.
  void heal(int Kind) { this->Healed.insert(Kind); }

  /// \returns how many of \p Requests with the subject that deadly requests
  /// had, but without the deadly part, are served.
  int serveDeadlySubject(int Requests);
  /// \returns how many hosts refuse requests with the deadly part of a kind.
  int hostsThatRefuse(int Kind);

  CrashFleetResults Results;

private:
  struct Request {
    RequestTraits Traits;
    /// The kind whose deadly part the request has; -1 for a sound one.
    int DeadlyKind = -1;
    int Attempts = 0;
    int *Served = nullptr;
  };

  struct Run {
    Request Content;
    int Host = 0;
    std::uint64_t Process = 0;
    SendAdmission Admission = SendAdmission::Allowed;
    TimePoint SentAt{};
    TimePoint BeginsAt{};
    bool HasBegun = false;
  };

  struct Target {
    std::string Run;
    TimePoint BackAt{};
    std::vector<bergamothook::CrashFleet::Run> Runs;
  };

  struct Host {
    Host(CrashFleet &Fleet, int Index, std::uint64_t Process);
    std::uint64_t Process;
    HostRoster Roster;
    RequestQuarantine List;
    PeerNode::Handler Handler;
    QuarantineExchange Reports;
    TimePoint UpdateAt{};
    /// The next record of the log to read.
    std::size_t NextRecord = 0;
  };

  struct Message {
    int To = 0;
    std::string Body;
  };

  struct LogRecord {
    TimePoint At{};
    QuarantineReport Report;
  };

  void step();
  void arrive();
  Request makeRequest(int Kind, int Subject, bool IsDeadly);
  void send(Request Next, int HostIndex);
  void crash(Target &Fallen);
  void update(Host &Updated, int Index);
  bool reachesStore(int Index) const {
    return !this->IsStoreOut && Index >= this->SplitBelow;
  }
  static Hash128 deadlyPart(int Kind);

  CrashFleetSettings Settings;
  Random Rng;
  TimePoint Now{std::chrono::hours(1)};
  std::map<HostId, int> IndexOfHost;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Target> Targets;
  std::multimap<TimePoint, Message> Network;
  std::vector<LogRecord> Log;
  std::vector<std::vector<TimePoint>> CrashTimes;
  std::set<int> Healed;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastRun = 0;
  std::uint64_t LastProcess = 0;
  double MadeUpPerSecond = 0;
  int SplitBelow = 0;
  bool IsStoreOut = false;
};

} // namespace bergamothook

#endif
