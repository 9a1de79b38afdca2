set(DEPENDS LibBase LibTask LibPlatform LibStream LibTarget)
