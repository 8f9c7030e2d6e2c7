# Defines the static library of one layer from all sources in src/<layer>.
# Sources are collected with CONFIGURE_DEPENDS so that a new file needs no
# change to a list.
function(rhubarbrun_layer name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
  add_library(rhubarbrun_${name} STATIC ${sources})
  add_library(rhubarbrun::${name} ALIAS rhubarbrun_${name})
  set_target_properties(rhubarbrun_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(rhubarbrun_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:include>)
  target_link_libraries(rhubarbrun_${name} PUBLIC ${ARG_LINK}
    PRIVATE $<BUILD_INTERFACE:rhubarbrun_options>)
endfunction()
