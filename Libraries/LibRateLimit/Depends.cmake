set(DEPENDS LibBase LibTask LibPeer LibLoan LibObserve nlohmann_json::nlohmann_json)
