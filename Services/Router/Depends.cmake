set(DEPENDS LibAdapter LibApi LibConfig LibHttp LibLedger LibObserve LibOutcome
        LibPlatform LibRouting LibSettings LibStream LibTarget LibTask)
