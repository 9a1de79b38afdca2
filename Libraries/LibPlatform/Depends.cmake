set(DEPENDS LibBase)
