find_package(rapidcheck REQUIRED)
list(APPEND DEPENDS LibRelayFront rapidcheck)
list(APPEND Sources ${CMAKE_CURRENT_SOURCE_DIR}/LibHttp/RawServer.cpp
  ${CMAKE_CURRENT_SOURCE_DIR}/LibHttp/RawSocket.cpp)
