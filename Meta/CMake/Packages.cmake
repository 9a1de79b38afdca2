# Third-party packages, all from Debian.
find_package(Boost 1.74 REQUIRED COMPONENTS fiber context)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Threads REQUIRED)
find_package(doctest REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(PISTACHE REQUIRED IMPORTED_TARGET libpistache)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# easylogging++ is shipped as one source file, which is not clean under our warnings.
add_library(easyloggingpp STATIC /usr/include/easylogging++.cc)
target_compile_definitions(easyloggingpp PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE)
target_compile_options(easyloggingpp PRIVATE -w)

# Compiler settings shared by every target of the project.
add_library(project_options INTERFACE)
target_include_directories(project_options INTERFACE ${CMAKE_SOURCE_DIR}/Libraries)
target_compile_options(project_options INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(project_options INTERFACE BERGAMOTHOOK_VERSION="${PROJECT_VERSION}")
target_link_libraries(project_options INTERFACE Boost::fiber Boost::context Threads::Threads)
if(BERGAMOTHOOK_SANITIZE)
  target_compile_options(project_options INTERFACE -fsanitize=address,undefined
    -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(project_options INTERFACE -fsanitize=address,undefined)
endif()
