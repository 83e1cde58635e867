#include "hemlockchute/core/EventLog.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <mutex>

namespace hemlockchute {
namespace {

using TextSink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

struct LogState {
    std::mutex lock;
    boost::shared_ptr<TextSink> sink;
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

boost::shared_ptr<std::ostream> openTarget(const std::filesystem::path& file)
{
    if (file.empty())
        return { &std::cerr, boost::null_deleter() };
    if (file == "-")
        return { &std::cout, boost::null_deleter() };
    return boost::make_shared<std::ofstream>(file, std::ios::app);
}

void installSink(LogState& state, const LogOptions& options)
{
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(openTarget(options.file));
    backend->auto_flush(true);
    auto sink = boost::make_shared<TextSink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    if (state.sink)
        boost::log::core::get()->remove_sink(state.sink);
    boost::log::core::get()->add_sink(sink);
    state.sink = sink;
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
    {
        std::lock_guard guard(state.lock);
        if (!state.sink)
            installSink(state, {});
    }
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << formatFields(id, fields, state.format.load(), true);
}

std::string formatEvent(EventId id, std::initializer_list<LogField> fields, LogOptions::Format format)
{
    return formatFields(id, fields, format, false);
}

} // namespace hemlockchute
