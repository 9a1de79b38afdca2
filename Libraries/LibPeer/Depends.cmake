set(DEPENDS LibBase LibTask OpenSSL::Crypto nlohmann_json::nlohmann_json)
