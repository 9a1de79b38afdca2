/// \file
/// bergamothook-standin: simulates the platform or a target.
///
/// Exit codes: 0 after a stop by signal or a successful check, 1 for invalid
/// settings or a port that can't be bound, 2 for an invalid command line.

#include "LibObserve/StructuredLog.h"
#include "LibStandinServer/EngineStandin.h"
#include "LibStandinServer/LogStandin.h"
#include "LibStandinServer/MembershipStandin.h"
#include "LibStandinServer/ServiceStandin.h"
#include "LibStandinServer/StandinServer.h"
#include "StandinSettings.h"

#include <csignal>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <pthread.h>
#include <thread>

using namespace bergamothook;

namespace {

constexpr int ExitBadSettings = 1;
constexpr int ExitBadCommandLine = 2;

constexpr const char *HelpText =
    R"(Usage: bergamothook-standin --role ROLE --config FILE [--check]

Simulates the platform or a target, for tests and demonstrations. Faults are
set initially by the settings and at run time by POST /faults.

  --role ROLE     log, membership, engine or service
  --config FILE   the settings file, in JSON
  --check         check the settings and exit
  --help          print this text
  --version       print the version

Exit codes: 0 stopped by a signal, or the settings are valid; 1 invalid
settings or the port can't be bound; 2 invalid command line.
)";

struct CommandLine {
  std::string Role;
  std::string ConfigFile;
  bool ChecksOnly = false;
};

/// One stand-in: its request handler, its faults and its background task.
struct Standin {
  StandinHandler Serve;
  FaultTable *Faults = nullptr;
  std::function<void()> Run = [] {};
  std::function<void()> Stop = [] {};
  std::shared_ptr<void> Owner;
};

template <typename T> Standin makeStandinFor(std::shared_ptr<T> Role) {
  Standin Instance;
  Instance.Serve = [Role](const HttpRequest &Request, const HttpReply &Reply) {
    Role->serve(Request, Reply);
  };
  Instance.Faults = &Role->Faults;
  Instance.Owner = Role;
  return Instance;
}

Standin makeEngine(const StandinSettings &Settings, const Runtime &Tasks,
                   std::unique_ptr<StandinServer> &Server) {
  auto OnCrash = [&Server, Downtime = Settings.RestartAfter] {
    logEvent(LogLevel::Warning, "crashed", nlohmann::json::object());
    Server->restartAfter(Downtime);
  };
  auto Role = std::make_shared<EngineStandin>(Settings.Engine, Settings.Seed,
                                              Tasks, OnCrash);
  Standin Instance = makeStandinFor(Role);
  Instance.Run = [Role] { Role->run(); };
  Instance.Stop = [Role] { Role->stop(); };
  return Instance;
}

std::optional<Standin> makeStandin(const std::string &Role,
                                   const StandinSettings &Settings,
                                   const Runtime &Tasks,
                                   std::unique_ptr<StandinServer> &Server) {
  if (Role == "log")
    return makeStandinFor(
        std::make_shared<LogStandin>(Settings.Log, Settings.Seed, Tasks));
  if (Role == "membership")
    return makeStandinFor(
        std::make_shared<MembershipStandin>(Settings.Members, Tasks));
  if (Role == "service")
    return makeStandinFor(
        std::make_shared<ServiceStandin>(Settings.ServiceChecksFence, Tasks));
  if (Role == "engine")
    return makeEngine(Settings, Tasks, Server);
  return std::nullopt;
}

std::optional<CommandLine> parseCommandLine(int Argc, char **Argv) {
  static const option Options[] = {
      {"role", required_argument, nullptr, 'r'},
      {"config", required_argument, nullptr, 'c'},
      {"check", no_argument, nullptr, 'k'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0},
  };
  CommandLine Parsed;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "r:c:khv", Options, nullptr)) !=
         -1) {
    switch (Option) {
    case 'r':
      Parsed.Role = optarg;
      break;
    case 'c':
      Parsed.ConfigFile = optarg;
      break;
    case 'k':
      Parsed.ChecksOnly = true;
      break;
    case 'h':
      std::cout << HelpText;
      std::exit(0);
    case 'v':
      std::cout << "bergamothook-standin " BERGAMOTHOOK_VERSION "\n";
      std::exit(0);
    default:
      return std::nullopt;
    }
  }
  if (optind < Argc || Parsed.Role.empty() || Parsed.ConfigFile.empty())
    return std::nullopt;
  return Parsed;
}

/// Blocks SIGTERM and SIGINT in all threads, so that one thread can wait for
/// them with sigwait().
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int serve(const CommandLine &Arguments, const StandinSettings &Settings) {
  sigset_t Signals = blockStopSignals();
  RealRuntime Real;
  std::unique_ptr<StandinServer> Server;
  auto Instance = makeStandin(Arguments.Role, Settings, Real.hooks(), Server);
  if (!Instance) {
    std::cerr << "unknown role: " << Arguments.Role << "\n";
    return ExitBadCommandLine;
  }
  if (auto Applied = Instance->Faults->apply(Settings.Faults); !Applied) {
    std::cerr << Arguments.ConfigFile
              << ": /faults: " << Applied.error().message() << "\n";
    return ExitBadSettings;
  }
  if (Arguments.ChecksOnly)
    return 0;
  Server =
      std::make_unique<StandinServer>(Settings.Listen, Real, Instance->Serve);
  if (auto Started = Server->start(); !Started) {
    std::cerr << Started.error().message() << ": " << Settings.Listen.Address
              << ":" << Settings.Listen.Port << "\n";
    return ExitBadSettings;
  }
  logEvent(LogLevel::Info, "serving",
           {{"role", Arguments.Role}, {"port", Server->port()}});
  Real.post(Instance->Run);
  std::thread Waiter([&] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Real.post(Instance->Stop);
    Real.stop();
  });
  Real.run();
  Waiter.join();
  Server->stop();
  logEvent(LogLevel::Info, "stopped", {{"role", Arguments.Role}});
  // Suspended tasks may still refer to objects that a normal exit would
  // destroy, so exit without running destructors.
  std::cout.flush();
  std::_Exit(0);
}

} // namespace

int main(int Argc, char **Argv) {
  auto Arguments = parseCommandLine(Argc, Argv);
  if (!Arguments) {
    std::cerr << HelpText;
    return ExitBadCommandLine;
  }
  startLogging("standin", Arguments->Role, LogLevel::Info);
  auto Settings = readStandinSettings(Arguments->ConfigFile);
  if (!Settings) {
    std::cerr << Settings.error().toText() << "\n";
    return ExitBadSettings;
  }
  return serve(*Arguments, Settings.value());
}
