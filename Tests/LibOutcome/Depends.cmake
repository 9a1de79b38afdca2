list(APPEND DEPENDS LibReplay LibStandin)
set(SEPARATE_UNITS ON)
