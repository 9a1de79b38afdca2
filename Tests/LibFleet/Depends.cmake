list(APPEND DEPENDS LibVirtualFleet)
