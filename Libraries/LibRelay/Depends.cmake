set(DEPENDS LibBase LibTask LibNet LibWallet LibLoan LibObserve nlohmann_json::nlohmann_json)
