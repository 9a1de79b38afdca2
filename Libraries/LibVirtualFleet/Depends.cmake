set(DEPENDS LibFleet LibStandin)
