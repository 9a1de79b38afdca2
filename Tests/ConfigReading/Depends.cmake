find_package(rapidcheck REQUIRED)
list(APPEND DEPENDS Platform)
list(APPEND DEPENDS rapidcheck)
