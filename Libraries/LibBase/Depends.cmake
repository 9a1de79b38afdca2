set(DEPENDS PkgConfig::XXHASH nlohmann_json::nlohmann_json)
