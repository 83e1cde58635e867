#include "AnswerText.h"

#include "hemlockchute/document/DocumentParser.h"

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace hemlockchute {
namespace {

namespace json = boost::json;

constexpr int nameWidth = 24;

/** Lenient access to the fields of an object: a missing field reads as empty. */
class Fields {
public:
    explicit Fields(const json::value& value)
        : m_object(value.is_object() ? value.get_object() : json::object())
    {
    }

    std::string text(std::string_view key) const
    {
        const json::value* value = m_object.if_contains(key);
        if (!value || value->is_null())
            return {};
        return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
    }

    bool flag(std::string_view key) const
    {
        const json::value* value = m_object.if_contains(key);
        return value && value->is_bool() && value->get_bool();
    }

    json::array array(std::string_view key) const
    {
        const json::value* value = m_object.if_contains(key);
        return value && value->is_array() ? value->get_array() : json::array();
    }

    json::object object(std::string_view key) const
    {
        const json::value* value = m_object.if_contains(key);
        return value && value->is_object() ? value->get_object() : json::object();
    }

private:
    json::object m_object;
};

std::optional<Fields> parse(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return {};
    return Fields(value);
}

std::string orDash(const std::string& text) { return text.empty() ? "-" : text; }

void writeFaults(std::ostream& stream, const Fields& answer)
{
    for (const json::value& value : answer.array("faults")) {
        Fields fault(value);
        DocumentFault read { static_cast<unsigned>(std::strtoul(fault.text("line").c_str(), nullptr, 10)), TeamName(fault.text("team")), fault.text("what") };
        stream << "  " << read.text() << '\n';
    }
}

} // namespace

std::string submitText(std::string_view text)
{
    auto answer = parse(text);
    if (!answer)
        return std::string(text) + "\n";
    std::ostringstream stream;
    std::string verdict = answer->text("verdict");
    if (verdict == "accepted")
        stream << "accepted as version " << answer->text("version") << '\n';
    else if (verdict == "conflict")
        stream << "conflict: version " << answer->text("version") << " is in force; take its changes in and submit on top of it\n";
    else
        stream << verdict << "; nothing was changed\n";
    for (const auto& [dataCentre, isInForce] : answer->object("in_force"))
        stream << "  " << std::string_view(dataCentre) << ": " << (isInForce == json::value(true) ? "in force" : "not yet in force") << '\n';
    writeFaults(stream, *answer);
    return stream.str();
}

std::string statusText(std::string_view text)
{
    auto status = parse(text);
    if (!status)
        return std::string(text) + "\n";
    std::ostringstream stream;
    stream << std::left;
    stream << "document version " << status->text("version") << ", leading keeper " << orDash(status->text("leader")) << ", asked keeper " << status->text("keeper") << "\n\n";
    stream << std::setw(nameWidth) << "DATA CENTRE" << std::setw(nameWidth) << "LEADING CONTROLLER" << std::setw(10) << "FENCING"
           << "IN FORCE\n";
    for (const json::value& value : status->array("data_centres")) {
        Fields row(value);
        stream << std::setw(nameWidth) << row.text("name") << std::setw(nameWidth) << orDash(row.text("leader")) << std::setw(10) << row.text("fencing") << (row.flag("in_force") ? "yes" : "no") << '\n';
    }
    stream << '\n'
           << std::setw(nameWidth) << "HOST" << std::setw(nameWidth) << "DATA CENTRE"
           << "VERSION\n";
    for (const json::value& value : status->array("hosts")) {
        Fields row(value);
        stream << std::setw(nameWidth) << row.text("name") << std::setw(nameWidth) << row.text("data_centre") << (row.text("version").empty() ? "not heard of" : row.text("version")) << '\n';
    }
    stream << '\n'
           << std::setw(nameWidth) << "KEEPER" << std::setw(nameWidth) << "ROLE"
           << "LOG MATCHED TO\n";
    for (const json::value& value : status->array("keepers")) {
        Fields row(value);
        stream << std::setw(nameWidth) << row.text("id") << std::setw(nameWidth) << (row.flag("voter") ? "voter" : "learner") << row.text("matched") << '\n';
    }
    return stream.str();
}

std::string runText(std::string_view text)
{
    auto run = parse(text);
    if (!run)
        return std::string(text) + "\n";
    std::ostringstream stream;
    stream << "key " << run->text("key") << ": " << run->text("state") << '\n';
    if (run->text("state") == "done")
        stream << "status " << run->text("status") << ", " << orDash(run->text("content_type")) << '\n';
    if (run->flag("body_too_long"))
        stream << "the answer was too long to keep\n";
    std::string body = run->text("body").empty() ? run->text("body_base64") : run->text("body");
    if (!body.empty())
        stream << body << '\n';
    return stream.str();
}

std::string problemText(std::string_view text)
{
    auto problem = parse(text);
    if (!problem || problem->text("title").empty())
        return std::string(text) + "\n";
    return problem->text("title") + ": " + problem->text("detail") + "\n";
}

} // namespace hemlockchute
