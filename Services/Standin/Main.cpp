/// \file
/// bergamothook-standin: takes the place of the platform or of a target.
///
/// Exit codes: 0 after a stop by signal or a passed check, 1 for settings that
/// are not valid or a port that cannot be listened on, 2 for a wrong command
/// line.

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

Takes the place of the platform or of a target, for tests and demonstrations.
Faults are set at the start by the settings and while running by POST /faults.

  --role ROLE     log, membership, engine or service
  --config FILE   the settings, in JSON
  --check         check the settings and exit
  --help          print this text
  --version       print the version

Exit codes: 0 stopped by a signal, or the settings are valid; 1 the settings
are not valid or the port is taken; 2 the command line is wrong.
)";

struct CommandLine {
  std::string Role;
  std::string ConfigFile;
  bool OnlyChecks = false;
};

/// One stand-in with what its runtime has to run beside its requests.
struct Standin {
  StandinHandler Serve;
  FaultTable *Faults = nullptr;
  std::function<void()> RunTask = [] {};
  std::function<void()> Stop = [] {};
  std::shared_ptr<void> Owner;
};

template <typename T> Standin standinOver(std::shared_ptr<T> Role) {
  Standin Made;
  Made.Serve = [Role](const HttpRequest &Request, const HttpReply &Reply) {
    Role->serve(Request, Reply);
  };
  Made.Faults = &Role->Faults;
  Made.Owner = Role;
  return Made;
}

Standin makeEngine(const StandinSettings &Settings, const Runtime &Tasks,
                   std::unique_ptr<StandinServer> &Server) {
  auto OnCrash = [&Server, Pause = Settings.RestartAfter] {
    logEvent(LogLevel::Warning, "crashed", nlohmann::json::object());
    Server->restartAfter(Pause);
  };
  auto Role = std::make_shared<EngineStandin>(Settings.Engine, Settings.Seed,
                                              Tasks, OnCrash);
  Standin Made = standinOver(Role);
  Made.RunTask = [Role] { Role->run(); };
  Made.Stop = [Role] { Role->stop(); };
  return Made;
}

std::optional<Standin> makeStandin(const std::string &Role,
                                   const StandinSettings &Settings,
                                   const Runtime &Tasks,
                                   std::unique_ptr<StandinServer> &Server) {
  if (Role == "log")
    return standinOver(
        std::make_shared<LogStandin>(Settings.Log, Settings.Seed, Tasks));
  if (Role == "membership")
    return standinOver(
        std::make_shared<MembershipStandin>(Settings.Members, Tasks));
  if (Role == "service")
    return standinOver(
        std::make_shared<ServiceStandin>(Settings.ServiceChecksFence, Tasks));
  if (Role == "engine")
    return makeEngine(Settings, Tasks, Server);
  return std::nullopt;
}

std::optional<CommandLine> parseCommandLine(int Count, char **Words) {
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
  while ((Option = getopt_long(Count, Words, "r:c:khv", Options, nullptr)) !=
         -1) {
    switch (Option) {
    case 'r':
      Parsed.Role = optarg;
      break;
    case 'c':
      Parsed.ConfigFile = optarg;
      break;
    case 'k':
      Parsed.OnlyChecks = true;
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
  if (optind < Count || Parsed.Role.empty() || Parsed.ConfigFile.empty())
    return std::nullopt;
  return Parsed;
}

/// Blocks the stop signals in every thread, so that one thread can wait for
/// them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int serve(const CommandLine &Line, const StandinSettings &Settings) {
  sigset_t Signals = blockStopSignals();
  RealRuntime Real;
  std::unique_ptr<StandinServer> Server;
  auto Made = makeStandin(Line.Role, Settings, Real.hooks(), Server);
  if (!Made) {
    std::cerr << "unknown role: " << Line.Role << "\n";
    return ExitBadCommandLine;
  }
  if (auto Applied = Made->Faults->apply(Settings.Faults); !Applied) {
    std::cerr << Line.ConfigFile << ": /faults: " << Applied.error().message()
              << "\n";
    return ExitBadSettings;
  }
  if (Line.OnlyChecks)
    return 0;
  Server = std::make_unique<StandinServer>(Settings.Listen, Real, Made->Serve);
  if (auto Started = Server->start(); !Started) {
    std::cerr << Started.error().message() << ": " << Settings.Listen.Address
              << ":" << Settings.Listen.Port << "\n";
    return ExitBadSettings;
  }
  logEvent(LogLevel::Info, "serving",
           {{"role", Line.Role}, {"port", Server->port()}});
  Real.post(Made->RunTask);
  std::thread Waiter([&] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Real.post(Made->Stop);
    Real.stop();
  });
  Real.run();
  Waiter.join();
  Server->stop();
  logEvent(LogLevel::Info, "stopped", {{"role", Line.Role}});
  // Tasks may still wait on what goes now; the process ends without them.
  std::cout.flush();
  std::_Exit(0);
}

} // namespace

int main(int Count, char **Words) {
  auto Line = parseCommandLine(Count, Words);
  if (!Line) {
    std::cerr << HelpText;
    return ExitBadCommandLine;
  }
  startLogging("standin", Line->Role, LogLevel::Info);
  auto Settings = readStandinSettings(Line->ConfigFile);
  if (!Settings) {
    std::cerr << Settings.error().toText() << "\n";
    return ExitBadSettings;
  }
  return serve(*Line, Settings.value());
}
