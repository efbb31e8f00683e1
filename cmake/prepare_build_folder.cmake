# Makes sure that the next build in a folder compiles the sources as they are now. A build folder may
# have been copied from elsewhere: CMake refuses to configure one that was made at another path and
# leaves its programs in place, and ninja takes a source that is older than its object for unchanged.
#
#   cmake -D BUILD_FOLDER=target -P cmake/prepare_build_folder.cmake
#
# To be run in the root of the repository, before CMake configures the folder. Removes
#  - all that CMake and ninja have made, if the folder was made at another path, on another kind of
#    machine or by a version without this script, or if ninja could miss a changed source;
#  - otherwise the programs, if a source has changed, so that a failed build leaves none.
# Writes source_digest.txt, which identifies the sources, and sources.txt, the record of the build.
cmake_minimum_required(VERSION 3.25)

set(programs ${BUILD_FOLDER}/bin)
set(products CMakeCache.txt CMakeFiles build.ninja .ninja_deps .ninja_log bin libs platform apps)
set(record ${BUILD_FOLDER}/sources.txt)

file(GLOB_RECURSE sources RELATIVE ${CMAKE_SOURCE_DIR} CMakeLists.txt cmake/* libs/* platform/*
     apps/sycamorewinchd/*)
list(FILTER sources EXCLUDE REGEX "(^|/)test/")
list(FILTER sources INCLUDE REGEX "^(CMakeLists.txt|(cmake|libs|platform|apps/sycamorewinchd)/.*)$")
list(SORT sources)
set(digests "")
foreach(source ${sources})
  file(SHA256 ${source} digest)
  list(APPEND digests "${digest} ${source}")
endforeach()
string(SHA256 source_digest "${digests}")
string(SUBSTRING ${source_digest} 0 16 source_digest)

cmake_host_system_information(RESULT processor QUERY OS_PLATFORM)
set(origin "${processor} ${CMAKE_SOURCE_DIR}")

set(recorded "")
if(EXISTS ${record})
  file(STRINGS ${record} recorded)
  list(POP_FRONT recorded recorded_origin)
endif()

# Sets \p result to whether a source has changed and is older than the last build.
function(find_missed_change result)
  set(${result} FALSE PARENT_SCOPE)
  set(log ${BUILD_FOLDER}/.ninja_log)
  if(NOT EXISTS ${log})
    return()
  endif()
  file(TIMESTAMP ${log} built_at "%s" UTC)
  foreach(entry ${digests})
    string(REGEX REPLACE "^[^ ]+ " "" source ${entry})
    file(TIMESTAMP ${source} changed_at "%s" UTC)
    if(NOT entry IN_LIST recorded AND changed_at LESS_EQUAL built_at)
      message(STATUS "${source} has changed and is older than the last build")
      set(${result} TRUE PARENT_SCOPE)
      return()
    endif()
  endforeach()
endfunction()

set(stale FALSE)
if(EXISTS ${BUILD_FOLDER}/CMakeCache.txt)
  if(NOT origin STREQUAL "${recorded_origin}")
    message(STATUS "${BUILD_FOLDER} was made by another version, at another path or on another kind of machine")
    set(stale TRUE)
  else()
    find_missed_change(stale)
  endif()
endif()
if(stale)
  message(STATUS "removing the products of earlier builds from ${BUILD_FOLDER}")
  foreach(product ${products})
    file(REMOVE_RECURSE ${BUILD_FOLDER}/${product})
  endforeach()
elseif(NOT recorded STREQUAL digests)
  file(REMOVE_RECURSE ${programs})
endif()

file(WRITE ${record} "${origin}\n")
foreach(entry ${digests})
  file(APPEND ${record} "${entry}\n")
endforeach()
file(WRITE ${BUILD_FOLDER}/source_digest.txt "${source_digest}\n")
