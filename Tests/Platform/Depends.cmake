find_package(rapidcheck REQUIRED)
list(APPEND DEPENDS Platform)
list(APPEND DEPENDS rapidcheck)
list(APPEND Sources ${CMAKE_CURRENT_SOURCE_DIR}/LibHttp/RawServer.cpp
  ${CMAKE_CURRENT_SOURCE_DIR}/LibHttp/RawSocket.cpp)
