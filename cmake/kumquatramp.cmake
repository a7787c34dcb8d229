# CMake functions shared by the CMakeLists.txt files of the folders.

# kumquatramp_library(name DEPENDS ...): adds the library kr_NAME from
# src/**/*.cpp with include/ as its public include directory; an interface
# library if there are no sources.
function(kumquatramp_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    if(sources)
        add_library(kr_${name} STATIC ${sources})
        set(scope PUBLIC)
    else()
        add_library(kr_${name} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(kr_${name} ${scope}
        ${CMAKE_CURRENT_SOURCE_DIR}/include)
    if(sources)
        target_include_directories(kr_${name} PRIVATE
            ${CMAKE_CURRENT_SOURCE_DIR}/src)
    endif()
    target_link_libraries(kr_${name} ${scope} ${ARG_DEPENDS})
endfunction()

# The main() shared by all Catch2 test programs.
add_library(kr_test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)

# kumquatramp_tests(name DEPENDS ...): builds tests/*.cpp as NAME_tests and
# registers it as the ctest test NAME.
function(kumquatramp_tests name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name}_tests ${sources})
    target_include_directories(${name}_tests PRIVATE
        ${CMAKE_CURRENT_SOURCE_DIR}/tests ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(${name}_tests PRIVATE kr_test_main ${ARG_DEPENDS})
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 1200)
endfunction()

# kumquatramp_mark_known_red(test): adds the label known_red to a test that
# KNOWN-RED.txt lists as "test: NAME", so that CI skips it.
set(known_red_list ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
if(EXISTS ${known_red_list})
    set_property(DIRECTORY ${CMAKE_SOURCE_DIR} APPEND PROPERTY
        CMAKE_CONFIGURE_DEPENDS ${known_red_list})
endif()
function(kumquatramp_mark_known_red test)
    if(NOT EXISTS ${known_red_list})
        return()
    endif()
    file(STRINGS ${known_red_list} listed REGEX "^test: ${test}$")
    if(listed)
        set_property(TEST ${test} APPEND PROPERTY LABELS known_red)
    endif()
endfunction()
