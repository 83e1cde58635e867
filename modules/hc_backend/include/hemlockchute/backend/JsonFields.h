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
    Reads the fields of one JSON object and remembers the first fault, with the field named.

    Unknown fields are ignored. Thread safety: one thread at a time.
*/
class JsonFields {
public:
    /** `path` stands before each field's name in a fault. The value must outlive this. */
    JsonFields(const boost::json::value&, std::string path, std::string& fault);

    /** A required text. */
    std::string text(std::string_view name);
    /** A text, or the fallback when the field is missing. */
    std::string text(std::string_view name, std::string_view fallback);
    /** A required text that is one of those given; its place among them. */
    std::size_t choice(std::string_view name, const std::vector<std::string_view>& allowed);
    /** A required whole number of at least 0. */
    std::uint64_t number(std::string_view name);
    /** A whole number of at least 0, or the fallback when the field is missing. */
    std::uint64_t number(std::string_view name, std::uint64_t fallback);
    /** A truth value, or the fallback when the field is missing. */
    bool flag(std::string_view name, bool fallback);
    /** Texts of an array; empty when the field is missing. */
    std::vector<std::string> texts(std::string_view name);
    /** The objects of an array; empty when the field is missing. */
    std::vector<JsonFields> objects(std::string_view name);
    bool has(std::string_view name) const { return find(name) != nullptr; }
    /** Adds a fault of the caller's own. */
    void addFault(std::string_view name, std::string_view what);

private:
    const boost::json::value* find(std::string_view name) const;
    const boost::json::array* array(std::string_view name);

    const boost::json::object* m_object;
    std::string m_path;
    std::string& m_fault;
};

} // namespace hemlockchute
