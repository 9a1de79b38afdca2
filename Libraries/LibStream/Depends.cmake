set(DEPENDS LibBase LibPlatform LibTask)
