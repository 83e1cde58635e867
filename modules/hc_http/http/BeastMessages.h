#pragma once

#include "hemlockchute/http/HttpMessage.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace hemlockchute {

/** Converts the header fields of a Beast message. */
template <typename Fields>
HttpHeaders headersFromBeast(const Fields& fields)
{
    HttpHeaders headers;
    for (const auto& field : fields)
        headers.add(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

/** Adds header fields to a Beast message. */
template <typename Fields>
void headersToBeast(const HttpHeaders& headers, Fields& fields)
{
    for (const auto& [name, value] : headers.fields())
        fields.insert(name, value);
}

/** True if the text has no CR, LF or NUL, which must not appear in a header field. */
inline bool isSafeHeaderText(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

} // namespace hemlockchute
