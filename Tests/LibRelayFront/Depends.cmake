find_package(rapidcheck REQUIRED)
list(APPEND DEPENDS LibRelayFront rapidcheck)
