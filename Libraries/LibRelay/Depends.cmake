set(DEPENDS LibBase LibTask LibNet LibWallet LibLoan LibRateLimit LibObserve nlohmann_json::nlohmann_json)
