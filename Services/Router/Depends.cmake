set(DEPENDS LibAdapter LibApi LibConfig LibFleet LibHttp LibLedger LibMembership LibObserve LibOutcome LibPeer
        LibPlatform LibRouting LibSettings LibStream LibTarget LibTask)
