# Helper functions that give every library, program and test the same flags.
# Sources are globbed with CONFIGURE_DEPENDS, so that a new file needs no change to a list.

function(comfreysail_set_flags target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
endfunction()

# comfreysail_add_library(LibX LINK LibY Boost::json ...)
function(comfreysail_add_library name)
    cmake_parse_arguments(ARGUMENT "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    comfreysail_set_flags(${name})
    target_link_libraries(${name} PUBLIC ${ARGUMENT_LINK})
endfunction()

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

# comfreysail_add_test(TestLibX LINK LibX ...): one Catch2 program and one ctest entry for it.
# COMFREYSAIL_BIN_DIR tells tests on real processes where the built programs are.
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
