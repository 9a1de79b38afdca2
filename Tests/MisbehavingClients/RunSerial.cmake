# Read by ctest after the list of tests.
if(TestMisbehavingClients_TESTS)
  set_tests_properties(${TestMisbehavingClients_TESTS} PROPERTIES RUN_SERIAL TRUE)
endif()
