#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string_view>

namespace hemlockchute {

/** True for an answer that precedes the final one (RFC 9110, section 15.2). */
bool isInterimResponse(const boost::beast::http::response_header<>&);

/**
    The reason why the head of a response, interim or final, must not be used although the parser
    accepts it; empty if there is none. All responses of all peers are checked here.

    The parser accepts any three digits as a status, and leaves the codings to its caller. A coding
    other than "chunked" was not asked for, so that the body could not be decoded (RFC 9112,
    sections 6.1 and 7.4).
*/
std::string_view responseHeadFault(const boost::beast::http::response_header<>&);

} // namespace hemlockchute
