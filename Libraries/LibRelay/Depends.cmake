set(DEPENDS LibBase LibTask LibNet LibWallet LibObserve nlohmann_json::nlohmann_json)
