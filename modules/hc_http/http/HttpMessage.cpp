#include "hemlockchute/http/HttpMessage.h"

#include <algorithm>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <cctype>

namespace hemlockchute {
namespace {

bool equalWithoutCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

HttpResponse withContentType(unsigned status, ByteString body, std::string type)
{
    return { status, { { "Content-Type", std::move(type) } }, std::move(body) };
}

} // namespace

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const auto& [fieldName, value] : m_fields) {
        if (equalWithoutCase(fieldName, name))
            return value;
    }
    return {};
}

void HttpHeaders::set(std::string_view name, std::string value)
{
    std::erase_if(m_fields, [&](const auto& field) { return equalWithoutCase(field.first, name); });
    m_fields.emplace_back(std::string(name), std::move(value));
}

std::string HttpRequest::path() const
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::queryParameter(std::string_view name) const
{
    auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return {};
    auto parameters = url->params();
    auto found = parameters.find(name);
    if (found == parameters.end())
        return {};
    return std::string((*found).value);
}

HttpResponse HttpResponse::json(unsigned status, ByteString body)
{
    return withContentType(status, std::move(body), "application/json");
}

HttpResponse HttpResponse::text(unsigned status, ByteString body)
{
    return withContentType(status, std::move(body), "text/plain; charset=utf-8");
}

} // namespace hemlockchute
