set(DEPENDS LibBase LibPlatform LibRouting LibTarget LibTask)
