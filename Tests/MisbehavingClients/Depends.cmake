list(APPEND DEPENDS Platform)
list(APPEND Sources ${CMAKE_CURRENT_SOURCE_DIR}/Platform/FakeStore.cpp)
# Deferred, since the target and its tests are added after this file is read.
cmake_language(DEFER CALL add_dependencies TestMisbehavingClients bergamothook-relay)
cmake_language(DEFER CALL target_compile_definitions TestMisbehavingClients PRIVATE
  BERGAMOTHOOK_RELAY="$<TARGET_FILE:bergamothook-relay>")
# Other tests on the machine would take memory and time from the clients.
cmake_language(DEFER CALL set_property DIRECTORY APPEND PROPERTY TEST_INCLUDE_FILES
  ${CMAKE_CURRENT_SOURCE_DIR}/MisbehavingClients/RunSerial.cmake)
