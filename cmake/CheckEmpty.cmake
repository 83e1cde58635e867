# Fails and prints FILE if it is missing or not empty.
file(READ ${FILE} text)
if(NOT text STREQUAL "")
    message(FATAL_ERROR "${text}")
endif()
