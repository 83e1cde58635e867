# Fails unless the output of PROGRAM equals the content of the file PAGE.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE printed RESULT_VARIABLE code)
file(READ ${PAGE} page)
if(NOT code EQUAL 0 OR NOT printed STREQUAL page)
    message(FATAL_ERROR "${PAGE} is stale: run ${PROGRAM} > ${PAGE}")
endif()
