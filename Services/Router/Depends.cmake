set(DEPENDS LibAdapter LibApi LibConfig LibHttp LibLedger LibMembership LibObserve LibOutcome LibPeer
        LibPlatform LibRouting LibSettings LibStream LibTarget LibTask)
