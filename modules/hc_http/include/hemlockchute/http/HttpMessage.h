#pragma once

#include "hemlockchute/core/Units.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The header fields of a message, in order. Names are compared case-insensitively.

    Thread safety: as std::vector.
*/
class HttpHeaders {
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    /** The first value of that name, if any. */
    std::optional<std::string> find(std::string_view name) const;
    /** Replaces every field of that name. */
    void set(std::string_view name, std::string value);
    void add(std::string name, std::string value) { m_fields.emplace_back(std::move(name), std::move(value)); }

    const std::vector<std::pair<std::string, std::string>>& fields() const { return m_fields; }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/** A complete request. Thread safety: as its members. */
struct HttpRequest {
    std::string method = "GET";
    /** Path and query, as on the request line. */
    std::string target = "/";
    HttpHeaders headers;
    ByteString body;

    /** The target without its query. */
    std::string path() const;
    /** A decoded parameter of the query, if present. */
    std::optional<std::string> queryParameter(std::string_view name) const;
};

/** A complete response. Thread safety: as its members. */
struct HttpResponse {
    unsigned status = 200;
    HttpHeaders headers;
    ByteString body;

    static HttpResponse json(unsigned status, ByteString body);
    static HttpResponse text(unsigned status, ByteString body);
};

} // namespace hemlockchute
