#include "ControlCommands.h"

#include "AnswerText.h"
#include "DrainEditor.h"
#include "LineDiff.h"

#include "hemlockchute/report/BurnReport.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <cctype>
#include <fstream>
#include <random>

namespace hemlockchute {
namespace {

namespace json = boost::json;

constexpr unsigned ok = 200;
constexpr unsigned forbidden = 403;
constexpr unsigned notFound = 404;
constexpr unsigned conflict = 409;
constexpr unsigned unprocessable = 422;
/** Attempts to apply an edit when other operators' submissions cause version conflicts. */
constexpr unsigned maximumEditAttempts = 5;

std::string newSubmitId()
{
    std::random_device random;
    std::string id;
    for (int i = 0; i < 4; ++i) {
        std::uint64_t word = random();
        id += Digest(word, word).text().substr(8, 8);
    }
    return id;
}

std::string percentEncoded(const std::string& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (unsigned char c : text) {
        bool isPlain = std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~';
        if (isPlain) {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += digits[c >> 4U];
        encoded += digits[c & 15U];
    }
    return encoded;
}

std::string_view changeName(const Document& before, const Document& after, const TeamName& team)
{
    if (!before.sections.contains(team))
        return "added";
    return after.sections.contains(team) ? "changed" : "removed";
}

std::string sectionOf(const Document& document, const TeamName& team)
{
    auto found = document.sections.find(team);
    return found == document.sections.end() ? std::string() : found->second;
}

bool isDocumentVerdict(unsigned status)
{
    return status == ok || status == forbidden || status == conflict || status == unprocessable;
}

} // namespace

const ControlCommands::Entry ControlCommands::entries[] = {
    { "submit", &ControlCommands::submit },
    { "diff", &ControlCommands::diff },
    { "show", &ControlCommands::show },
    { "status", &ControlCommands::status },
    { "drain", &ControlCommands::drain },
    { "undrain", &ControlCommands::undrain },
    { "members add", &ControlCommands::changeMembers },
    { "members remove", &ControlCommands::changeMembers },
    { "members replace", &ControlCommands::changeMembers },
    { "runs show", &ControlCommands::showRun },
    { "report burn", &ControlCommands::reportBurn },
};

ControlCommands::ControlCommands(const Arguments& arguments, ControlSettings settings, Console& console)
    : m_arguments(arguments)
    , m_console(console)
    , m_routers(settings.routers)
    , m_client(std::move(settings), arguments.timeout, console.err)
{
}

ExitCode ControlCommands::run()
{
    const auto* entry = std::find_if(std::begin(entries), std::end(entries), [this](const Entry& candidate) { return candidate.command == m_arguments.command; });
    assert(entry != std::end(entries));
    return (this->*entry->run)();
}

//==============================================================================
ControlCommands::ResponseResult ControlCommands::send(HttpRequest request, ControlClient::RetryPolicy retryPolicy)
{
    auto response = m_client.send(std::move(request), retryPolicy);
    if (response)
        return std::move(*response);
    m_console.err << "no keeper answered:\n"
                  << response.error().detail << '\n';
    return tl::unexpected(ExitCode::Unreachable);
}

ControlCommands::ResponseResult ControlCommands::get(std::string target)
{
    HttpRequest request;
    request.target = std::move(target);
    return send(std::move(request), ControlClient::RetryPolicy::Always);
}

ControlCommands::ResponseResult ControlCommands::post(const std::string& text, const std::string& base, const std::string& submitId)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/document?base=" + percentEncoded(base) + "&submit_id=" + percentEncoded(submitId);
    request.headers.set("Content-Type", "application/toml");
    request.body = text;
    // The submit id makes the request idempotent: a repetition gets the first answer.
    return send(std::move(request), ControlClient::RetryPolicy::Always);
}

ControlCommands::DocumentResult ControlCommands::fetchDocument()
{
    auto response = get("/v1/document");
    if (!response)
        return tl::unexpected(response.error());
    if (response->status != ok) {
        m_console.err << problemText(response->body);
        return tl::unexpected(ExitCode::Refused);
    }
    std::string version = response->headers.find("X-Document-Version").value_or("0");
    auto document = parseDocument(response->body, DocumentVersion(std::strtoull(version.c_str(), nullptr, 10)));
    if (document)
        return std::move(*document);
    m_console.err << "the keeper's document cannot be read by this hemlockctl: " << document.error().front().text() << '\n';
    return tl::unexpected(ExitCode::Refused);
}

tl::expected<std::string, ExitCode> ControlCommands::readValidFile()
{
    auto text = readWholeFile(m_arguments.file);
    if (!text) {
        m_console.err << m_arguments.file << ": cannot be read\n";
        return tl::unexpected(ExitCode::Faulty);
    }
    auto document = parseDocument(*text, DocumentVersion());
    if (document)
        return std::move(*text);
    printFaults(m_arguments.isJson ? m_console.out : m_console.err, m_arguments.file, document.error(), m_arguments.isJson);
    return tl::unexpected(ExitCode::Faulty);
}

ExitCode ControlCommands::print(const HttpResponse& response, std::string (*text)(std::string_view))
{
    bool isDone = response.status == ok;
    std::string shown = isDone || response.status == notFound ? text(response.body) : problemText(response.body);
    if (m_arguments.isJson)
        m_console.out << response.body << '\n';
    else
        (isDone ? m_console.out : m_console.err) << shown;
    return isDone ? ExitCode::Done : ExitCode::Refused;
}

//==============================================================================
ExitCode ControlCommands::submit()
{
    auto text = readValidFile();
    if (!text)
        return text.error();
    std::string base = m_arguments.base;
    if (base == "current") {
        auto current = fetchDocument();
        if (!current)
            return current.error();
        base = std::to_string(current->version.value());
    }
    std::string id = m_arguments.submitId.empty() ? newSubmitId() : m_arguments.submitId;
    m_console.err << "submit id " << id << '\n';
    auto response = post(*text, base, id);
    return response ? printSubmitAnswer(*response) : response.error();
}

ExitCode ControlCommands::printSubmitAnswer(const HttpResponse& response)
{
    bool isVerdict = isDocumentVerdict(response.status) && response.body.find("\"verdict\"") != std::string::npos;
    std::string text = isVerdict ? submitText(response.body) : problemText(response.body);
    bool isAccepted = response.status == ok;
    if (m_arguments.isJson)
        m_console.out << response.body << '\n';
    else
        (isAccepted ? m_console.out : m_console.err) << text;
    return isAccepted ? ExitCode::Done : ExitCode::Refused;
}

ExitCode ControlCommands::diff()
{
    auto text = readValidFile();
    if (!text)
        return text.error();
    auto current = fetchDocument();
    if (!current)
        return current.error();
    auto submitted = parseDocument(*text, current->version.next());
    json::array teams;
    for (const TeamName& team : changedTeams(*current, *submitted)) {
        std::string lines = lineDiff(sectionOf(*current, team), sectionOf(*submitted, team));
        std::string_view change = changeName(*current, *submitted, team);
        teams.push_back(json::object { { "team", team.text() }, { "change", change }, { "diff", lines } });
        if (!m_arguments.isJson)
            m_console.out << "section " << team << ": " << change << '\n'
                          << lines;
    }
    if (m_arguments.isJson)
        m_console.out << json::serialize(json::object { { "version", current->version.value() }, { "teams", teams } }) << '\n';
    else if (teams.empty())
        m_console.out << "no section differs from version " << current->version << '\n';
    return ExitCode::Done;
}

ExitCode ControlCommands::show()
{
    auto document = fetchDocument();
    if (!document)
        return document.error();
    if (m_arguments.team.empty())
        return printSections(*document, document->sections);
    auto found = document->sections.find(TeamName(m_arguments.team));
    if (found != document->sections.end())
        return printSections(*document, { *found });
    m_console.err << "there is no section of team " << m_arguments.team << '\n';
    return ExitCode::Refused;
}

ExitCode ControlCommands::printSections(const Document& document, const std::map<TeamName, std::string>& sections)
{
    if (!m_arguments.isJson) {
        m_console.err << "version " << document.version << '\n';
        m_console.out << documentText(sections);
        return ExitCode::Done;
    }
    json::object object;
    for (const auto& [team, text] : sections)
        object[team.text()] = text;
    m_console.out << json::serialize(json::object { { "version", document.version.value() }, { "sections", object } }) << '\n';
    return ExitCode::Done;
}

ExitCode ControlCommands::status()
{
    auto response = get("/v1/status");
    return response ? print(*response, statusText) : response.error();
}

ExitCode ControlCommands::showRun()
{
    auto response = get("/v1/runs/" + percentEncoded(m_arguments.key));
    return response ? print(*response, runText) : response.error();
}

/** Merges the counts of all routers. A router that does not answer is left out and reported on standard error. */
ExitCode ControlCommands::reportBurn()
{
    auto document = fetchDocument();
    if (!document)
        return document.error();
    BurnCounts counts;
    for (const Endpoint& router : m_routers) {
        auto response = m_client.fetch(router, "/burn");
        auto decoded = response ? BurnCounts::decode(response->body) : failure(ReportErrorCode::Malformed, response.error().detail);
        if (decoded)
            counts.merge(*decoded);
        else
            m_console.err << "left out: router " << formatEndpoint(router) << ": " << decoded.error().detail << '\n';
    }
    BurnReport report = makeBurnReport(*document, counts, SystemClock().wallTime());
    if (!m_arguments.htmlFile.empty()) {
        std::ofstream page(m_arguments.htmlFile);
        page << report.html();
        if (!page.flush()) {
            m_console.err << m_arguments.htmlFile << ": cannot be written\n";
            return ExitCode::Faulty;
        }
    }
    m_console.out << (m_arguments.isJson ? report.json() + "\n" : report.text());
    return ExitCode::Done;
}

//==============================================================================
ExitCode ControlCommands::drain()
{
    return editDocument(&ControlCommands::addDrain);
}

ExitCode ControlCommands::undrain()
{
    return editDocument(&ControlCommands::removeDrain);
}

ExitCode ControlCommands::editDocument(Edit edit)
{
    for (unsigned attempt = 1;; ++attempt) {
        auto document = fetchDocument();
        if (!document)
            return document.error();
        EditedSections sections = (this->*edit)(*document);
        if (!sections)
            return ExitCode::Refused;
        auto response = post(documentText(*sections), std::to_string(document->version.value()), newSubmitId());
        if (!response)
            return response.error();
        bool isRetried = response->status == conflict && attempt < maximumEditAttempts;
        if (!isRetried)
            return printSubmitAnswer(*response);
        m_console.err << "another operator's document came first; trying again on top of it\n";
    }
}

ControlCommands::EditedSections ControlCommands::addDrain(const Document& document)
{
    auto existing = document.drains.find(BackendServerName(m_arguments.server));
    if (existing != document.drains.end()) {
        m_console.err << m_arguments.server << " is drained already, by team " << existing->second.team << '\n';
        return {};
    }
    auto sections = document.sections;
    std::string& section = sections[TeamName(m_arguments.team)];
    section = withDrain(section, m_arguments.team, m_arguments.server, m_arguments.reason);
    return sections;
}

ControlCommands::EditedSections ControlCommands::removeDrain(const Document& document)
{
    auto existing = document.drains.find(BackendServerName(m_arguments.server));
    if (existing == document.drains.end()) {
        m_console.err << m_arguments.server << " is not drained\n";
        return {};
    }
    auto sections = document.sections;
    const TeamName& team = existing->second.team;
    auto section = withoutDrain(sections[team], team.text(), m_arguments.server);
    if (!section) {
        m_console.err << "the drain plan stands in a form that hemlockctl does not edit; change the section of team " << team << " by hand\n";
        return {};
    }
    sections[team] = *section;
    return sections;
}

ExitCode ControlCommands::changeMembers()
{
    char* end = nullptr;
    std::uint64_t keeper = std::strtoull(m_arguments.keeper.c_str(), &end, 10);
    bool isNumber = !m_arguments.keeper.empty() && *end == '\0' && std::isdigit(static_cast<unsigned char>(m_arguments.keeper.front()));
    if (!isNumber || (!m_arguments.peer.empty() && !parseEndpoint(m_arguments.peer))) {
        m_console.err << "KEEPER must be a keeper's number, and PEER an IP number and port such as 127.0.3.1:7103\n";
        return ExitCode::Faulty;
    }
    std::string action = m_arguments.command.substr(m_arguments.command.find(' ') + 1);
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/members";
    request.body = json::serialize(json::object { { "action", action }, { "keeper", keeper }, { "peer", m_arguments.peer } });
    auto response = send(std::move(request), ControlClient::RetryPolicy::IfNotSent);
    return response ? print(*response, [](std::string_view) { return std::string("done\n"); }) : response.error();
}

} // namespace hemlockchute
