# The layer check must accept the tree as it is and refuse a package that includes upward.
cmake_minimum_required(VERSION 3.25)

function(expect_check root should_pass story)
    execute_process(
        COMMAND ${CMAKE_COMMAND} -DROOT=${root} -P ${SOURCE}/misc/check_layers.cmake
        RESULT_VARIABLE result
        ERROR_VARIABLE text
        OUTPUT_QUIET)
    if(should_pass AND NOT result EQUAL 0)
        message(FATAL_ERROR "${story}: refused, should pass: ${text}")
    endif()
    if(NOT should_pass AND result EQUAL 0)
        message(FATAL_ERROR "${story}: passed, should be refused")
    endif()
endfunction()

expect_check(${SOURCE} TRUE "the tree as it is")

set(fixture ${SCRATCH}/layers)
file(REMOVE_RECURSE ${fixture})
file(WRITE ${fixture}/low/CMakeLists.txt "cg_package(low LIBRARIES Boost::headers)\n")
file(WRITE ${fixture}/low/a.h "#include \"low/b.h\"\n")
file(WRITE ${fixture}/high/CMakeLists.txt "cg_package(high PACKAGES low)\n")
file(WRITE ${fixture}/high/a.cpp "#include \"low/a.h\"\n")
expect_check(${fixture} TRUE "an include that goes downward")

file(WRITE ${fixture}/low/c.cpp "#include \"high/a.h\"\n")
expect_check(${fixture} FALSE "an include that goes upward")
