# Functions that declare the project's libraries, programs and tests.

add_library(sycamorewinch_options INTERFACE)
target_compile_options(sycamorewinch_options INTERFACE -Wall -Wextra -Wpedantic
                       -Wno-missing-field-initializers)
if(NOT SYCAMOREWINCH_DAEMON_ONLY) # user builds may use compilers that emit other warnings
  target_compile_options(sycamorewinch_options INTERFACE -Werror)
endif()
target_compile_definitions(sycamorewinch_options INTERFACE QT_NO_KEYWORDS QT_NO_CAST_TO_ASCII)

# sycamorewinch_library(NAME LINKS target... [SERIAL_SUITE suite])
# Builds libs/NAME/*.cpp as a library and libs/NAME/test/**/*.cpp as the test program NAME_test.
function(sycamorewinch_library name)
  cmake_parse_arguments(ARG "" "SERIAL_SUITE" "LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  set(target sycamorewinch_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${CMAKE_SOURCE_DIR}/libs ${CMAKE_SOURCE_DIR})
  target_link_libraries(${target} ${scope} ${ARG_LINKS} sycamorewinch_options)
  add_library(sycamorewinch::${name} ALIAS ${target})

  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
  if(tests)
    sycamorewinch_test(${name} SOURCES ${tests} LINKS sycamorewinch::${name}
                       SERIAL_SUITE ${ARG_SERIAL_SUITE})
  endif()
endfunction()

# sycamorewinch_test(NAME SOURCES file... LINKS target... [SERIAL_SUITE suite])
# Builds the test program NAME_test and registers it with ctest as NAME. The cases of SERIAL_SUITE are
# registered as NAME_SUITE, which ctest runs while no other test runs.
function(sycamorewinch_test name)
  if(SYCAMOREWINCH_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "SERIAL_SUITE" "SOURCES;LINKS" ${ARGN})
  set(target ${name}_test)
  set(run ${CMAKE_SOURCE_DIR}/scripts/run-test-program $<TARGET_FILE:${target}>)
  add_executable(${target} ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp ${ARG_SOURCES})
  target_link_libraries(${target} PRIVATE ${ARG_LINKS} sycamorewinch_options
                                          Boost::unit_test_framework)
  if(ARG_SERIAL_SUITE)
    add_test(NAME ${name}_${ARG_SERIAL_SUITE} COMMAND ${run} --run_test=${ARG_SERIAL_SUITE})
    set_tests_properties(${name}_${ARG_SERIAL_SUITE} PROPERTIES TIMEOUT 1200 RUN_SERIAL TRUE)
    list(APPEND run --run_test=!${ARG_SERIAL_SUITE})
  endif()
  add_test(NAME ${name} COMMAND ${run})
  set_tests_properties(${name} PROPERTIES TIMEOUT 240)
endfunction()

# sycamorewinch_program(NAME LINKS target...)
# Builds every .cpp file of the current folder as the program bin/NAME.
function(sycamorewinch_program name)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} sycamorewinch_options)
endfunction()
