/// \file
/// The settings of the stand-in program.

#ifndef BERGAMOTHOOK_SERVICES_STANDIN_STANDINSETTINGS_H
#define BERGAMOTHOOK_SERVICES_STANDIN_STANDINSETTINGS_H

#include "LibHttp/HttpServerLimits.h"
#include "LibPlatform/MembershipHooks.h"
#include "LibSettings/SettingsFile.h"
#include "LibStandin/EngineModelTypes.h"
#include "LibStandin/MemoryLog.h"

namespace bergamothook {

struct StandinSettings {
  HttpServerLimits Listen;
  std::uint64_t Seed = 1;
  LogLimits Log;
  EngineModelSettings Engine;
  /// How long an engine that crashed stays away.
  Duration RestartAfter = std::chrono::seconds(2);
  std::vector<Member> Members;
  bool ServiceChecksFence = false;
  /// Faults in force from the start, as POST /faults takes them.
  nlohmann::json Faults = nlohmann::json::object();
};

/// Reads and checks the file at \p File. docs/API-standin.md lists its keys.
SettingsResult<StandinSettings> readStandinSettings(const std::string &File);

} // namespace bergamothook

#endif
