#include "OfflineCommands.h"

#include "ReadOnlyFileSystem.h"
#include "RequestTimeline.h"

#include "hemlockchute/keeper/TokenHash.h"
#include "hemlockchute/storage/WriteAheadLog.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <fstream>

namespace hemlockchute {

const OfflineCommands::Entry OfflineCommands::entries[] = {
    { "validate", &OfflineCommands::validate },
    { "token hash", &OfflineCommands::hashToken },
    { "log verify", &OfflineCommands::verifyLog },
    { "explain", &OfflineCommands::explain },
};

OfflineCommands::OfflineCommands(const Arguments& arguments, Console& console)
    : m_arguments(arguments)
    , m_console(console)
{
}

bool OfflineCommands::supports(std::string_view command) const
{
    return std::any_of(std::begin(entries), std::end(entries), [command](const Entry& entry) { return entry.command == command; });
}

ExitCode OfflineCommands::run()
{
    assert(supports(m_arguments.command));
    const auto* entry = std::find_if(std::begin(entries), std::end(entries), [this](const Entry& candidate) { return candidate.command == m_arguments.command; });
    return (this->*entry->run)();
}

//==============================================================================
ExitCode OfflineCommands::validate()
{
    auto text = readWholeFile(m_arguments.file);
    if (!text) {
        m_console.err << m_arguments.file << ": cannot be read\n";
        return ExitCode::Faulty;
    }
    auto document = parseDocument(*text, DocumentVersion());
    if (!document) {
        printFaults(m_arguments.isJson ? m_console.out : m_console.err, m_arguments.file, document.error(), m_arguments.isJson);
        return ExitCode::Faulty;
    }
    if (m_arguments.isJson)
        m_console.out << "{\"faults\":[]}\n";
    else
        m_console.out << m_arguments.file << ": no faults; " << document->sections.size() << " sections, " << document->models.size() << " models\n";
    return ExitCode::Done;
}

ExitCode OfflineCommands::hashToken()
{
    std::string token;
    std::getline(m_console.in, token);
    if (token.size() < minimumOperatorTokenLength) {
        m_console.err << "the token must have at least " << minimumOperatorTokenLength << " characters, chosen at random\n";
        return ExitCode::Faulty;
    }
    TokenHash hash = TokenHash::of(token);
    if (m_arguments.isJson)
        m_console.out << boost::json::serialize(boost::json::object { { "salt", hash.salt }, { "hash", hash.hash } }) << '\n';
    else
        m_console.out << "salt = \"" << hash.salt << "\"\nhash = \"" << hash.hash << "\"\n";
    return ExitCode::Done;
}

ExitCode OfflineCommands::verifyLog()
{
    ReadOnlyFileSystem files(FileSystem::system());
    auto log = WriteAheadLog::open(files, m_arguments.folder, {});
    if (!log) {
        m_console.err << log.error().detail << '\n';
        return log.error().code == StorageErrorCode::Damaged ? ExitCode::Refused : ExitCode::Faulty;
    }
    const std::vector<LogRecord>& records = (*log)->records();
    std::uint64_t first = records.empty() ? 0 : records.front().index.value();
    std::uint64_t last = records.empty() ? 0 : records.back().index.value();
    if (m_arguments.isJson) {
        boost::json::object object { { "records", records.size() }, { "first", first }, { "last", last }, { "torn_tail", !files.truncations().empty() } };
        m_console.out << boost::json::serialize(object) << '\n';
        return ExitCode::Done;
    }
    m_console.out << records.size() << " records, " << first << " to " << last << ", none damaged\n";
    for (const ReadOnlyFileSystem::Truncation& truncation : files.truncations())
        m_console.out << truncation.path.string() << ": torn after byte " << truncation.size << "; a keeper cuts it there when it starts\n";
    return ExitCode::Done;
}

ExitCode OfflineCommands::explain()
{
    RequestTimeline timeline(m_arguments.request);
    if (m_arguments.logs.empty())
        timeline.read(m_console.in);
    for (const std::string& path : m_arguments.logs) {
        std::ifstream log(path);
        if (!log) {
            m_console.err << path << ": cannot be read\n";
            return ExitCode::Faulty;
        }
        timeline.read(log);
    }
    if (timeline.linesSkipped() > 0)
        m_console.err << timeline.linesSkipped() << " of " << timeline.linesRead() << " lines hold no record in JSON and were passed over\n";
    std::vector<RequestTimeline::Line> lines = timeline.lines();
    boost::json::array records;
    for (const RequestTimeline::Line& line : lines) {
        if (m_arguments.isJson)
            records.push_back(line.fields);
        else
            m_console.out << timelineText(line) << '\n';
    }
    if (m_arguments.isJson)
        m_console.out << boost::json::serialize(records) << '\n';
    if (!lines.empty())
        return ExitCode::Done;
    m_console.err << "no line names the request " << m_arguments.request << '\n';
    return ExitCode::Refused;
}

} // namespace hemlockchute
