set(DEPENDS LibBase LibTask LibNet LibWallet LibLoan LibRateLimit LibRouting LibObserve nlohmann_json::nlohmann_json)
