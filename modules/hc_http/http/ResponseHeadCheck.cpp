#include "http/ResponseHeadCheck.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace hemlockchute {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned lowestStatus = 100;
constexpr unsigned lowestFinalStatus = 200;
constexpr unsigned highestStatus = 599;
constexpr unsigned statusSwitchingProtocols = 101;
/** The first version that has transfer codings. */
constexpr unsigned version11 = 11;

} // namespace

bool isInterimResponse(const http::response_header<>& head)
{
    return head.result_int() < lowestFinalStatus;
}

std::string_view responseHeadFault(const http::response_header<>& head)
{
    unsigned status = head.result_int();
    if (status < lowestStatus || status > highestStatus)
        return "the status is not valid";
    if (status == statusSwitchingProtocols)
        return "the protocol is switched without having been asked for";
    auto codings = head.equal_range(http::field::transfer_encoding);
    bool isKnownCoding = std::all_of(codings.first, codings.second, [](const auto& field) { return beast::iequals(field.value(), "chunked"); });
    if (!isKnownCoding)
        return "the transfer coding is not known";
    if (codings.first != codings.second && head.version() < version11)
        return "the version has no transfer codings";
    return {};
}

} // namespace hemlockchute
