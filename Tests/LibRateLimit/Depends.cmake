find_package(rapidcheck REQUIRED)
list(APPEND DEPENDS rapidcheck)
