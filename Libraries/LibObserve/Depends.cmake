set(DEPENDS LibBase easyloggingpp nlohmann_json::nlohmann_json)
