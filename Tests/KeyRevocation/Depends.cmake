list(APPEND DEPENDS Platform)
foreach(Shared LibHttp/RawSocket MisbehavingClients/ProcessUsage MisbehavingClients/RelayProcess
    Platform/FakeStore)
  list(APPEND Sources ${CMAKE_CURRENT_SOURCE_DIR}/${Shared}.cpp)
endforeach()
# Deferred, since the target is added after this file is read.
cmake_language(DEFER CALL add_dependencies TestKeyRevocation bergamothook-relay)
cmake_language(DEFER CALL target_compile_definitions TestKeyRevocation PRIVATE
  BERGAMOTHOOK_RELAY="$<TARGET_FILE:bergamothook-relay>")
