list(APPEND DEPENDS LibLedger)
