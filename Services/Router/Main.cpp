/// \file
/// bergamothook-router: the program of an entry host.

#include "Router.h"

#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <pthread.h>
#include <thread>

namespace bergamothook {

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;

struct CommandLine {
  std::string ConfigFile;
  bool IsCheck = false;
};

void printUsage(std::ostream &Out) {
  Out << "Usage: bergamothook-router --config FILE [--check]\n"
         "Routes callers' requests to targets within the teams' budgets.\n\n"
         "  --config FILE  the settings, in JSON\n"
         "  --check        check the settings and exit\n"
         "  --version      print the version\n"
         "  --help         print this text\n\n"
         "SIGTERM and SIGINT stop gracefully; a second one cuts off what is\n"
         "still in progress.\n"
         "Exit status: 0 done, 1 could not start, 2 usage, 3 settings.\n";
}

/// Reads the command line. \returns nothing when the program is to exit with
/// \p ExitCode.
std::optional<CommandLine> parse(int Count, char **Words, int &ExitCode) {
  static const option Options[] = {{"config", required_argument, nullptr, 'c'},
                                   {"check", no_argument, nullptr, 'k'},
                                   {"version", no_argument, nullptr, 'v'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  CommandLine Read;
  int Letter = 0;
  while ((Letter = getopt_long(Count, Words, "", Options, nullptr)) != -1) {
    ExitCode = 0;
    switch (Letter) {
    case 'c':
      Read.ConfigFile = optarg;
      break;
    case 'k':
      Read.IsCheck = true;
      break;
    case 'v':
      std::cout << "bergamothook-router " BERGAMOTHOOK_VERSION "\n";
      return std::nullopt;
    case 'h':
      printUsage(std::cout);
      return std::nullopt;
    default:
      printUsage(std::cerr);
      ExitCode = ExitUsage;
      return std::nullopt;
    }
  }
  if (Read.ConfigFile.empty() || optind < Count) {
    printUsage(std::cerr);
    ExitCode = ExitUsage;
    return std::nullopt;
  }
  return Read;
}

/// Signals are taken by one thread that waits for them, so that no code runs in
/// a signal handler.
sigset_t blockStopSignals() {
  sigset_t Stops;
  sigemptyset(&Stops);
  sigaddset(&Stops, SIGTERM);
  sigaddset(&Stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stops, nullptr);
  return Stops;
}

void waitForStops(const sigset_t &Stops, RealRuntime &Threads, Router &Host) {
  int Signal = 0;
  sigwait(&Stops, &Signal);
  Threads.post([&Threads, &Host] {
    Host.stop();
    Threads.stop();
  });
  sigwait(&Stops, &Signal);
  Threads.post([&Host] { Host.hurry(); });
}

int serve(const RouterSettings &Settings) {
  auto Keys = readKeyFile(Settings.Peers.KeyFile);
  if (!Keys) {
    std::cerr << Settings.Peers.KeyFile << ": " << Keys.error().message()
              << "\n";
    return ExitSettings;
  }
  sigset_t Stops = blockStopSignals();
  RealRuntime Threads;
  Router Host(Settings, std::move(Keys.value()), Threads);
  auto Started = Host.start();
  if (!Started) {
    std::cerr << "could not start: " << Started.error().message() << "\n";
    std::fflush(stdout);
    std::_Exit(ExitFailed);
  }
  std::thread([&] { waitForStops(Stops, Threads, Host); }).detach();
  Threads.run();
  // Tasks that still wait for the network hold references to the parts of the
  // host, so that the process ends without taking them apart.
  std::fflush(stdout);
  std::_Exit(0);
}

} // namespace

} // namespace bergamothook

int main(int Count, char **Words) {
  using namespace bergamothook;
  int ExitCode = 0;
  auto Command = parse(Count, Words, ExitCode);
  if (!Command)
    return ExitCode;
  auto Settings = readRouterSettings(Command->ConfigFile);
  if (!Settings) {
    std::cerr << Settings.error().toText() << "\n";
    return ExitSettings;
  }
  if (Command->IsCheck) {
    std::cout << Command->ConfigFile << ": the settings are valid\n";
    return 0;
  }
  startLogging("router", Settings.value().HostName,
               Settings.value().LowestLevel);
  return serve(Settings.value());
}
