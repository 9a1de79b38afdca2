# Experiments link whatever libraries exist.
file(GLOB Known LIST_DIRECTORIES true ${CMAKE_SOURCE_DIR}/Libraries/Lib*)
foreach(Folder ${Known})
  get_filename_component(Library ${Folder} NAME)
  list(APPEND DEPENDS ${Library})
endforeach()
# Each experiment registers itself under the same local name.
set(SEPARATE_UNITS ON)
