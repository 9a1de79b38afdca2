find_package(rapidcheck REQUIRED)
list(APPEND DEPENDS LibNet rapidcheck)
# The replaced allocator must not be inlined into its callers.
set(SEPARATE_UNITS ON)
list(APPEND Sources ${CMAKE_CURRENT_SOURCE_DIR}/LibHttp/RawServer.cpp
  ${CMAKE_CURRENT_SOURCE_DIR}/LibHttp/RawSocket.cpp)
