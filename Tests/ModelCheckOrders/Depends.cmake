list(APPEND DEPENDS LibOutcome)
