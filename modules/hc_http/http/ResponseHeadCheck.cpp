#include "http/ResponseHeadCheck.h"

namespace hemlockchute {

namespace http = boost::beast::http;

namespace {

constexpr unsigned lowestStatus = 100;
constexpr unsigned lowestFinalStatus = 200;
constexpr unsigned highestStatus = 599;
constexpr unsigned statusSwitchingProtocols = 101;

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
    return {};
}

} // namespace hemlockchute
