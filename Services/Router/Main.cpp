/// \file
/// bergamothook-router: the router process of an entry host.

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

/// Blocks the stop signals in this thread and those it starts later. One thread
/// receives them with sigwait(), so that no code runs in a signal handler.
sigset_t blockStopSignals() {
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  return StopSignals;
}

void handleStopSignals(const sigset_t &StopSignals, RealRuntime &Threads,
                       Router &Service) {
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  Threads.post([&Threads, &Service] {
    Service.stop();
    Threads.stop();
  });
  sigwait(&StopSignals, &Signal);
  Threads.post([&Service] { Service.forceStop(); });
}

int serve(const RouterSettings &Settings) {
  auto Keys = readKeyFile(Settings.Peers.KeyFile);
  if (!Keys) {
    std::cerr << Settings.Peers.KeyFile << ": " << Keys.error().message()
              << "\n";
    return ExitSettings;
  }
  sigset_t StopSignals = blockStopSignals();
  RealRuntime Threads;
  Router Service(Settings, std::move(Keys.value()), Threads);
  auto Started = Service.start();
  if (!Started) {
    std::cerr << "could not start: " << Started.error().message() << "\n";
    std::fflush(stdout);
    std::_Exit(ExitFailed);
  }
  std::thread([&] {
    handleStopSignals(StopSignals, Threads, Service);
  }).detach();
  Threads.run();
  // Tasks that still wait for the network hold references to the components of
  // the router, so the process exits without destroying them.
  std::fflush(stdout);
  std::_Exit(0);
}

} // namespace

} // namespace bergamothook

int main(int Count, char **Arguments) {
  using namespace bergamothook;
  int ExitCode = 0;
  CommandLineSpec Rules{"bergamothook-router",
                        HelpText,
                        {{"config", true}, {"check", false}},
                        false};
  auto Parsed = readCommandLine(Rules, Count, Arguments, ExitCode);
  if (!Parsed)
    return ExitCode;
  if (!Parsed->has("config") || !Parsed->Words.empty()) {
    std::cerr << HelpText;
    return ExitUsage;
  }
  auto Settings = readRouterSettings(Parsed->value("config"));
  if (!Settings) {
    std::cerr << Settings.error().toText() << "\n";
    return ExitSettings;
  }
  if (Parsed->has("check")) {
    std::cout << Parsed->value("config") << ": the settings are valid\n";
    return 0;
  }
  startLogging("router", Settings.value().HostName,
               Settings.value().MinLogLevel);
  return serve(Settings.value());
}
