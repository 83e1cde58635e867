#include "hemlockchute/backend/JsonFields.h"
#include "backend/JsonText.h"

#include <algorithm>
#include <boost/json/parse.hpp>

namespace hemlockchute {

namespace json = boost::json;

JsonFields::JsonFields(const json::value& value, std::string path, std::string& fault)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_fault(fault)
{
    if (!m_object)
        addFault("", "must be an object");
}

std::string JsonFields::text(std::string_view name)
{
    if (!find(name))
        addFault(name, "is missing");
    return text(name, "");
}

std::string JsonFields::text(std::string_view name, std::string_view fallback)
{
    const json::value* value = find(name);
    if (!value)
        return std::string(fallback);
    if (const json::string* found = value->if_string())
        return { found->data(), found->size() };
    addFault(name, "must be a text");
    return std::string(fallback);
}

std::size_t JsonFields::choice(std::string_view name, const std::vector<std::string_view>& allowed)
{
    std::string chosen = text(name);
    auto found = std::find(allowed.begin(), allowed.end(), chosen);
    if (found != allowed.end())
        return static_cast<std::size_t>(found - allowed.begin());
    addFault(name, "is none of the known words");
    return 0;
}

std::uint64_t JsonFields::number(std::string_view name)
{
    if (!find(name))
        addFault(name, "is missing");
    return number(name, 0);
}

std::uint64_t JsonFields::number(std::string_view name, std::uint64_t fallback)
{
    const json::value* value = find(name);
    if (!value)
        return fallback;
    if (value->is_uint64())
        return value->get_uint64();
    if (value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    addFault(name, "must be a whole number of at least 0");
    return fallback;
}

bool JsonFields::flag(std::string_view name, bool fallback)
{
    const json::value* value = find(name);
    if (!value)
        return fallback;
    if (value->is_bool())
        return value->get_bool();
    addFault(name, "must be true or false");
    return fallback;
}

std::vector<std::string> JsonFields::texts(std::string_view name)
{
    std::vector<std::string> texts;
    const json::array* items = array(name);
    for (std::size_t i = 0; items && i < items->size(); ++i) {
        if (const json::string* found = (*items)[i].if_string())
            texts.emplace_back(found->data(), found->size());
        else
            addFault(std::string(name) + "[" + std::to_string(i) + "]", "must be a text");
    }
    return texts;
}

std::vector<JsonFields> JsonFields::objects(std::string_view name)
{
    std::vector<JsonFields> objects;
    const json::array* items = array(name);
    for (std::size_t i = 0; items && i < items->size(); ++i)
        objects.emplace_back((*items)[i], m_path + std::string(name) + "[" + std::to_string(i) + "].", m_fault);
    return objects;
}

void JsonFields::addFault(std::string_view name, std::string_view what)
{
    if (m_fault.empty())
        m_fault = m_path + std::string(name) + ": " + std::string(what);
}

const json::value* JsonFields::find(std::string_view name) const
{
    return m_object ? m_object->if_contains(name) : nullptr;
}

const json::array* JsonFields::array(std::string_view name)
{
    const json::value* value = find(name);
    if (!value)
        return nullptr;
    if (!value->is_array())
        addFault(name, "must be an array");
    return value->if_array();
}

std::optional<json::value> parseJson(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error)
        return std::nullopt;
    return value;
}

} // namespace hemlockchute
