list(APPEND DEPENDS LibStandinServer)
