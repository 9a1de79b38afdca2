/// \file
/// The entry point of a relay host on the users' platform.

#include "LibBase/Random.h"
#include "LibObserve/StructuredLog.h"
#include "RelayService.h"
#include "platform/WireNames.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace {

using namespace bergamothook;

constexpr int ExitUsage = 2;
/// Time limit for writing the last log lines, so that a blocked reader does not
/// delay the exit.
constexpr Duration LogDrainTime = std::chrono::milliseconds(300);

void printUsage(std::ostream &Out) {
  Out << "Usage: bergamothook-relay [--settings FILE] [--check]\n"
         "  --settings FILE  settings in the platform's format; by default "
         "the\n"
         "                   file that "
      << platform::wire::SettingsEnvironmentVariable
      << " names\n"
         "  --check          check the settings and exit\n"
         "  --help           print this text\n";
}

std::string defaultSettingsPath() {
  const char *PathFromEnvironment =
      std::getenv(platform::wire::SettingsEnvironmentVariable);
  return PathFromEnvironment ? PathFromEnvironment
                             : platform::wire::DefaultSettingsPath;
}

int serve(const std::string &Path, const platform::PlatformSettings &Settings) {
  startLogging("bergamothook-relay", Settings.Host, LogLevel::Info);
  startLogWriter({});
  std::random_device Entropy;
  std::uint64_t Seed =
      (static_cast<std::uint64_t>(Entropy()) << 32) | Entropy();
  NetRuntime Loop;
  // Never deleted: completion handlers still refer to the service when the loop
  // ends, so the process exits without running destructors.
  auto *Service = new RelayService(Loop, Path, Settings, Seed);
  if (auto Started = Service->start(); !Started) {
    logEvent(LogLevel::Error, "start_failed",
             {{"reason", Started.error().message()},
              {"front", Settings.FrontAddress}});
    drainLog(LogDrainTime);
    std::quick_exit(EXIT_FAILURE);
  }
  Loop.run();
  drainLog(LogDrainTime);
  std::quick_exit(EXIT_SUCCESS);
}

} // namespace

int main(int Count, char **Arguments) {
  std::string Path = defaultSettingsPath();
  bool IsCheck = false;
  const option Options[] = {{"settings", required_argument, nullptr, 's'},
                            {"check", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  for (int OptionCode = 0;
       (OptionCode = getopt_long(Count, Arguments, "", Options, nullptr)) !=
       -1;) {
    switch (OptionCode) {
    case 's':
      Path = optarg;
      break;
    case 'c':
      IsCheck = true;
      break;
    case 'h':
      printUsage(std::cout);
      return EXIT_SUCCESS;
    default:
      printUsage(std::cerr);
      return ExitUsage;
    }
  }
  auto Settings = platform::readSettings(Path);
  if (!Settings) {
    std::cerr << "bergamothook-relay: " << Path << ": "
              << Settings.error().Field << ": " << Settings.error().Text
              << "\n";
    return ExitUsage;
  }
  if (IsCheck)
    return EXIT_SUCCESS;
  return serve(Path, Settings.value());
}
