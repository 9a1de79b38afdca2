list(APPEND DEPENDS LibStandin)
