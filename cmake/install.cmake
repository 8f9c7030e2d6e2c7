include(GNUInstallDirs)
include(CMakePackageConfigHelpers)
install(TARGETS rhubarbrun_state rhubarbrun_coordination rhubarbrun_protocol
                rhubarbrun_transport EXPORT rhubarbrun_targets)
install(DIRECTORY include/rhubarbrun DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(EXPORT rhubarbrun_targets NAMESPACE rhubarbrun::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/rhubarbrun)
configure_package_config_file(cmake/rhubarbrun-config.cmake.in
  ${CMAKE_BINARY_DIR}/rhubarbrun-config.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/rhubarbrun)
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/rhubarbrun-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/rhubarbrun-config.cmake
              ${CMAKE_BINARY_DIR}/rhubarbrun-config-version.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/rhubarbrun)
