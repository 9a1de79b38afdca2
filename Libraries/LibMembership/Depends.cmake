set(DEPENDS LibBase LibPlatform LibTask LibPeer)
