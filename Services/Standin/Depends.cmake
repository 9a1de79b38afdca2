set(DEPENDS LibStandinServer LibSettings LibObserve)
