#pragma once

#include "hemlockchute/core/Errors.h"

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Reads the fields of one JSON object and records the first error, with the path of its field.

    Unknown fields are ignored. Thread safety: one thread at a time.
*/
class JsonFields {
public:
    /** `path` prefixes the field names in the error. The value and `fault` must outlive this object. */
    JsonFields(const boost::json::value&, std::string path, std::string& fault);

    /** A required string. */
    std::string text(std::string_view name);
    /** A string, or the fallback when the field is missing. */
    std::string text(std::string_view name, std::string_view fallback);
    /** The index in `allowed` of a required string. */
    std::size_t choice(std::string_view name, const std::vector<std::string_view>& allowed);
    /** A required non-negative integer. */
    std::uint64_t number(std::string_view name);
    /** A non-negative integer, or the fallback when the field is missing. */
    std::uint64_t number(std::string_view name, std::uint64_t fallback);
    /** A boolean, or the fallback when the field is missing. */
    bool flag(std::string_view name, bool fallback);
    /** The strings of an array; empty when the field is missing. */
    std::vector<std::string> texts(std::string_view name);
    /** The objects of an array; empty when the field is missing. */
    std::vector<JsonFields> objects(std::string_view name);
    bool has(std::string_view name) const { return find(name) != nullptr; }
    /** Records an error that the caller found. */
    void addFault(std::string_view name, std::string_view what);

private:
    const boost::json::value* find(std::string_view name) const;
    const boost::json::array* array(std::string_view name);

    const boost::json::object* m_object;
    std::string m_path;
    std::string& m_fault;
};

} // namespace hemlockchute
