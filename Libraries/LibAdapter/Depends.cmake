set(DEPENDS LibBase LibHttp LibPlatform LibTarget LibTask nlohmann_json::nlohmann_json)
