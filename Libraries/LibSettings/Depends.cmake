set(DEPENDS LibBase nlohmann_json::nlohmann_json)
# g++ 12 warns falsely inside valijson: at -O3 of -Wrestrict (GCC bug 105651),
# with the sanitizers of an uninitialized std::regex. The plain build, which the
# linter reads, keeps all warnings.
if(BERGAMOTHOOK_SANITIZE)
  set(VALIJSON_OPTIONS -Wno-maybe-uninitialized)
elseif(CMAKE_BUILD_TYPE STREQUAL "Release")
  set(VALIJSON_OPTIONS -Wno-restrict)
endif()
if(VALIJSON_OPTIONS)
  set_source_files_properties(${CMAKE_SOURCE_DIR}/Libraries/LibSettings/SettingsFile.cpp
    PROPERTIES COMPILE_OPTIONS "${VALIJSON_OPTIONS}")
  unset(VALIJSON_OPTIONS)
endif()
