set(DEPENDS LibAdapter LibConfig LibHttp LibLedger LibOutcome LibPlatform
        LibSettings LibStream LibTask)
