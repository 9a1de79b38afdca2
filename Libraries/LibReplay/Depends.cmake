set(DEPENDS LibBase LibTask LibPlatform LibStream LibTarget LibStandin LibOutcome LibRouting nlohmann_json::nlohmann_json)
