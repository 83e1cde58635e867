#include "hemlockchute/core/EventLog.h"

#include "core/LogWriter.h"

#include <atomic>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <mutex>

namespace hemlockchute {
namespace {

constexpr int exitFailed = 1;
/** Name of the record attribute that holds the EventId. */
constexpr const char* eventAttribute = "Event";

/** Passes records to the writer. */
class WriterBackend : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding> {
public:
    explicit WriterBackend(std::shared_ptr<LogWriter> writer)
        : m_writer(std::move(writer))
    {
    }

    void consume(const boost::log::record_view& record, const std::string& line)
    {
        if (auto id = boost::log::extract<EventId>(eventAttribute, record))
            m_writer->write(*id, line);
    }

private:
    std::shared_ptr<LogWriter> m_writer;
};

using WriterSink = boost::log::sinks::unlocked_sink<WriterBackend>;

struct LogState {
    std::mutex lock;
    boost::shared_ptr<WriterSink> sink;
    std::shared_ptr<LogWriter> writer;
    std::atomic<Severity> level { Severity::Info };
    std::atomic<LogOptions::Format> format { LogOptions::Format::KeyValue };
};

LogState& logState()
{
    static LogState state;
    return state;
}

constexpr std::string_view severityNames[] = { "debug", "info", "warning", "error" };

std::string_view severityName(Severity severity)
{
    return severityNames[static_cast<std::size_t>(severity)];
}

void appendQuoted(std::string& line, std::string_view text)
{
    line += '"';
    for (char character : text) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < 0x20) {
            char escaped[7];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(character));
            line += escaped;
        } else
            line += character;
    }
    line += '"';
}

bool isPlain(std::string_view text)
{
    return !text.empty() && text.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
}

void appendKeyValue(std::string& line, std::string_view key, std::string_view value)
{
    if (!line.empty())
        line += ' ';
    line += key;
    line += '=';
    if (isPlain(value))
        line += value;
    else
        appendQuoted(line, value);
}

void appendJson(std::string& line, std::string_view key, std::string_view value)
{
    line += line.empty() ? "" : ",";
    appendQuoted(line, key);
    line += ':';
    appendQuoted(line, value);
}

using FieldWriter = void (*)(std::string&, std::string_view, std::string_view);

FieldWriter fieldWriter(LogOptions::Format format)
{
    return format == LogOptions::Format::Json ? appendJson : appendKeyValue;
}

std::string utcTime()
{
    std::timespec now {};
    std::timespec_get(&now, TIME_UTC);
    std::tm parts {};
    gmtime_r(&now.tv_sec, &parts);
    char day[32];
    std::strftime(day, sizeof day, "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    std::snprintf(text, sizeof text, "%s.%03ldZ", day, now.tv_nsec / 1'000'000);
    return text;
}

std::string formatFields(EventId id, std::initializer_list<LogField> fields, LogOptions::Format format, bool withTime)
{
    const EventDefinition& definition = eventDefinition(id);
    FieldWriter write = fieldWriter(format);
    std::string line;
    if (withTime)
        write(line, "time", utcTime());
    write(line, "severity", severityName(definition.severity));
    write(line, "event", std::to_string(static_cast<unsigned>(id)));
    write(line, "name", definition.name);
    for (const LogField& field : fields)
        write(line, field.key, field.value);
    return format == LogOptions::Format::Json ? "{" + line + "}" : line;
}

/** Precondition: the state is locked. */
void removeSink(LogState& state)
{
    if (state.sink)
        boost::log::core::get()->remove_sink(state.sink);
    state.sink.reset();
    // Another thread may still hold the writer for a line that it is logging.
    if (state.writer)
        state.writer->finish();
    state.writer.reset();
}

std::string summaryLine(const std::map<EventId, std::uint64_t>& dropped, LogOptions::Format format)
{
    std::uint64_t lines = 0;
    std::string names;
    for (const auto& [id, count] : dropped) {
        lines += count;
        names += (names.empty() ? "" : " ") + std::string(eventDefinition(id).name) + ":" + std::to_string(count);
    }
    return formatFields(EventId::LogLinesLeftOut, { { "lines", lines }, { "events", names } }, format, true);
}

/** Precondition: the state is locked. */
void installSink(LogState& state, const LogOptions& options)
{
    removeSink(state);
    LogOptions::Format format = options.format;
    state.writer = std::make_shared<LogWriter>(options, [format](const auto& dropped) { return summaryLine(dropped, format); });
    state.sink = boost::make_shared<WriterSink>(boost::make_shared<WriterBackend>(state.writer));
    state.sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(state.sink);
}

} // namespace

void configureLog(const LogOptions& options)
{
    LogState& state = logState();
    std::lock_guard guard(state.lock);
    installSink(state, options);
    state.level = options.level;
    state.format = options.format;
}

void logEvent(EventId id, std::initializer_list<LogField> fields)
{
    LogState& state = logState();
    if (eventDefinition(id).severity < state.level.load())
        return;
    std::shared_ptr<LogWriter> writer;
    {
        std::lock_guard guard(state.lock);
        if (!state.sink)
            installSink(state, {});
        writer = state.writer;
    }
    if (!writer->admit(id))
        return;
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << boost::log::add_value(eventAttribute, id) << formatFields(id, fields, state.format.load(), true);
}

void closeLog()
{
    LogState& state = logState();
    std::lock_guard guard(state.lock);
    removeSink(state);
}

void endProcess(EventId id, const std::string& reason)
{
    logEvent(id, { { "reason", reason } });
    closeLog();
    std::_Exit(exitFailed);
}

std::string formatEvent(EventId id, std::initializer_list<LogField> fields, LogOptions::Format format)
{
    return formatFields(id, fields, format, false);
}

} // namespace hemlockchute
