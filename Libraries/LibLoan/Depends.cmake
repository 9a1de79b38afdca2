set(DEPENDS LibBase LibTask LibWallet LibPeer LibObserve nlohmann_json::nlohmann_json)
