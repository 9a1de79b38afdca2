set(DEPENDS LibBase nlohmann_json::nlohmann_json)
