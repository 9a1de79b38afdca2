set(DEPENDS Platform)
