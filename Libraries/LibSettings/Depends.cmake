set(DEPENDS LibBase nlohmann_json::nlohmann_json)
# g++ 12 warns falsely inside valijson: at -O3 of -Wrestrict (GCC bug 105651),
# with the sanitizers of an uninitialized std::regex.
set(VALIJSON_OPTIONS -Wno-restrict)
if(BERGAMOTHOOK_SANITIZE)
  list(APPEND VALIJSON_OPTIONS -Wno-maybe-uninitialized)
endif()
set_source_files_properties(${CMAKE_SOURCE_DIR}/Libraries/LibSettings/SettingsFile.cpp
  PROPERTIES COMPILE_OPTIONS "${VALIJSON_OPTIONS}")
