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
  /// The downtime of a crashed engine.
  Duration RestartAfter = std::chrono::seconds(2);
  std::vector<Member> Members;
  bool ServiceChecksFence = false;
  /// The initial faults, in the format of POST /faults.
  nlohmann::json Faults = nlohmann::json::object();
};

/// Reads and validates the file at \p File. docs/API-standin.md lists its keys.
SettingsResult<StandinSettings> readStandinSettings(const std::string &File);

} // namespace bergamothook

#endif
