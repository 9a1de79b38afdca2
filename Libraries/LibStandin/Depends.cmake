set(DEPENDS LibBase LibPlatform LibTarget LibTask)
