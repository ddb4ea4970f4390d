# Functions that define libraries, programs and tests with common flags. Sources are globbed with CONFIGURE_DEPENDS, so
# a new file needs no change to a list.

function(comfreysail_set_flags target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
endfunction()

# Adds a static library from the .cpp files of the current folder.
# comfreysail_add_library(LibX LINK LibY Boost::json ...)
function(comfreysail_add_library name)
    cmake_parse_arguments(ARGUMENT "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    comfreysail_set_flags(${name})
    target_link_libraries(${name} PUBLIC ${ARGUMENT_LINK})
endfunction()

# Adds a program from the .cpp files of the current folder. It is built into the folder bin of the build directory.
# comfreysail_add_program(name LINK LibX ...)
function(comfreysail_add_program name)
    cmake_parse_arguments(ARGUMENT "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    comfreysail_set_flags(${name})
    target_compile_definitions(${name} PRIVATE COMFREYSAIL_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${name} PRIVATE ${ARGUMENT_LINK} Threads::Threads)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Adds a Catch2 program from the .cpp files of the current folder, and one ctest entry for it. Tests find the built
# programs in COMFREYSAIL_BIN_DIR and the sources in COMFREYSAIL_SOURCE_DIR.
# comfreysail_add_test(TestLibX LINK LibX ...)
function(comfreysail_add_test name)
    cmake_parse_arguments(ARGUMENT "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    comfreysail_set_flags(${name})
    target_compile_definitions(${name} PRIVATE
        COMFREYSAIL_BIN_DIR="${CMAKE_BINARY_DIR}/bin"
        COMFREYSAIL_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_link_libraries(${name} PRIVATE ${ARGUMENT_LINK} TestMain Catch2::Catch2 Threads::Threads)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
