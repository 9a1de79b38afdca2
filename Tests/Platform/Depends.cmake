list(APPEND DEPENDS Platform)
