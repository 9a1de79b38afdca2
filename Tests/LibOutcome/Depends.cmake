list(APPEND DEPENDS LibReplay LibStandin)
