set(DEPENDS LibBase LibTarget)
