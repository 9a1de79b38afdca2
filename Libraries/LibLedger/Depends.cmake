set(DEPENDS LibBase LibStream LibTask)
