list(APPEND DEPENDS LibRelayFront)
