set(DEPENDS LibBase LibAdapter LibHttp LibStandin LibTask nlohmann_json::nlohmann_json)
