set(DEPENDS LibBase LibTask)
