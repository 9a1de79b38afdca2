set(DEPENDS LibBase nlohmann_json::nlohmann_json)
# With the sanitizers g++ 12 takes std::regex, which valijson uses, for
# uninitialized; the plain build keeps the warning.
if(BERGAMOTHOOK_SANITIZE)
  set_source_files_properties(${CMAKE_SOURCE_DIR}/Libraries/LibSettings/SettingsFile.cpp
    PROPERTIES COMPILE_OPTIONS -Wno-maybe-uninitialized)
endif()
