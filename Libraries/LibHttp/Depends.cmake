set(DEPENDS LibBase LibNet LibTask PkgConfig::PISTACHE CURL::libcurl OpenSSL::SSL OpenSSL::Crypto nlohmann_json::nlohmann_json)
