/// \file
/// bergamothook-router: the program of an entry host.

#include "LibSettings/CommandLine.h"
#include "Router.h"

#include <csignal>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <pthread.h>
#include <thread>

namespace bergamothook {

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitSettings = 3;

const char *const HelpText =
    "Usage: bergamothook-router --config FILE [--check]\n"
    "Routes callers' requests to targets within the teams' budgets.\n\n"
    "  --config FILE  the settings, in JSON\n"
    "  --check        check the settings and exit\n"
    "  --version      print the version\n"
    "  --help         print this text\n\n"
    "SIGTERM and SIGINT stop gracefully; a second one cuts off what is\n"
    "still in progress.\n"
    "Exit status: 0 done, 1 could not start, 2 usage, 3 settings.\n";

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
  CommandLineSpec Rules{"bergamothook-router",
                        HelpText,
                        {{"config", true}, {"check", false}},
                        false};
  auto Line = readCommandLine(Rules, Count, Words, ExitCode);
  if (!Line)
    return ExitCode;
  if (!Line->has("config") || !Line->Words.empty()) {
    std::cerr << HelpText;
    return ExitUsage;
  }
  auto Settings = readRouterSettings(Line->value("config"));
  if (!Settings) {
    std::cerr << Settings.error().toText() << "\n";
    return ExitSettings;
  }
  if (Line->has("check")) {
    std::cout << Line->value("config") << ": the settings are valid\n";
    return 0;
  }
  startLogging("router", Settings.value().HostName,
               Settings.value().LowestLevel);
  return serve(Settings.value());
}
