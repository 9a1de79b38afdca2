set(DEPENDS LibBase LibStream LibTask OpenSSL::Crypto nlohmann_json::nlohmann_json)
