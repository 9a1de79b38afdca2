set(DEPENDS LibBase LibStream LibTask LibPeer OpenSSL::Crypto nlohmann_json::nlohmann_json)
