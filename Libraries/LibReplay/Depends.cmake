set(DEPENDS LibBase LibTask LibPlatform LibStream LibTarget LibStandin LibOutcome nlohmann_json::nlohmann_json)
