# Runs the build line of the deploy file on a small project whose build folder was carried over.
#
#   cmake -D REPOSITORY=. -D WORK_FOLDER=/tmp/deploy_build_test -P cmake/test/deploy_build_test.cmake
cmake_minimum_required(VERSION 3.25)

file(READ ${REPOSITORY}/deploy/system.toml deploy_file)
string(REGEX MATCH "build = \"([^\"]+)\"" matched "${deploy_file}")
set(build_line "${CMAKE_MATCH_1}")

function(write_source project text)
  file(WRITE ${project}/apps/sycamorewinchd/main.cpp
       "#include <cstdio>\nint main() { std::puts(\"${text}\"); }\n")
endfunction()

# Creates a project with the scripts of the repository and a program that prints \p text.
function(make_project project text)
  file(REMOVE_RECURSE ${project})
  file(COPY ${REPOSITORY}/cmake DESTINATION ${project})
  file(WRITE ${project}/CMakeLists.txt
       "cmake_minimum_required(VERSION 3.25)\nproject(small LANGUAGES CXX)\n"
       "set(CMAKE_RUNTIME_OUTPUT_DIRECTORY \${CMAKE_BINARY_DIR}/bin)\n"
       "add_executable(sycamorewinchd apps/sycamorewinchd/main.cpp)\n")
  write_source(${project} ${text})
endfunction()

function(build project result)
  execute_process(COMMAND sh -c "${build_line}" WORKING_DIRECTORY ${project} RESULT_VARIABLE status
                  OUTPUT_VARIABLE output ERROR_VARIABLE output)
  set(${result} ${status} PARENT_SCOPE)
  set(build_output "${output}" PARENT_SCOPE)
endfunction()

function(expect_program project case expected)
  set(printed "no program")
  if(EXISTS ${project}/target/bin/sycamorewinchd)
    execute_process(COMMAND ${project}/target/bin/sycamorewinchd OUTPUT_VARIABLE printed
                    OUTPUT_STRIP_TRAILING_WHITESPACE)
  endif()
  if(NOT printed STREQUAL expected)
    message(SEND_ERROR "${case}: expected '${expected}', got '${printed}'\n${build_output}")
  endif()
endfunction()

set(old ${WORK_FOLDER}/old)
set(new ${WORK_FOLDER}/new)
make_project(${old} old)
build(${old} status)
expect_program(${old} "a first build" old)

# Guards against an older program that stays in place because CMake refuses the folder.
make_project(${new} new)
file(COPY ${old}/target DESTINATION ${new})
build(${new} status)
expect_program(${new} "a build folder from another path" new)

# Guards against objects that ninja takes for newer than the sources: those of an archive keep their
# times.
write_source(${new} newer)
execute_process(COMMAND touch -d "2020-01-01 00:00:00 UTC" ${new}/apps/sycamorewinchd/main.cpp)
build(${new} status)
expect_program(${new} "a changed source with an old time" newer)

# Guards against an older program that is taken for the result of a failed build.
write_source(${new} "\" + \"")
build(${new} status)
expect_program(${new} "a build that fails" "no program")
if(status EQUAL 0)
  message(SEND_ERROR "a build that fails: the build line succeeds")
endif()

# Other files in the folder are not products of the build.
file(WRITE ${new}/target/review-2/driver "")
file(REMOVE ${new}/target/sources.txt)
write_source(${new} newest)
build(${new} status)
expect_program(${new} "a build folder without a record" newest)
if(NOT EXISTS ${new}/target/review-2/driver)
  message(SEND_ERROR "a file that the build has not made is gone")
endif()

# An unchanged project is not built again.
file(TIMESTAMP ${new}/target/bin/sycamorewinchd built_at)
build(${new} status)
file(TIMESTAMP ${new}/target/bin/sycamorewinchd kept_at)
if(NOT built_at STREQUAL kept_at)
  message(SEND_ERROR "an unchanged project is built again")
endif()
file(REMOVE_RECURSE ${WORK_FOLDER})
