#pragma once

#include "hemlockchute/core/EventTable.h"
#include "hemlockchute/core/LogQueue.h"

#include <concepts>
#include <filesystem>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>

namespace hemlockchute {

/** One field of a log record. Must not hold secrets or request bodies. */
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view fieldKey, std::string fieldValue)
        : key(fieldKey)
        , value(std::move(fieldValue))
    {
    }
    template <typename T>
    LogField(std::string_view fieldKey, const T& fieldValue)
        : key(fieldKey)
    {
        std::ostringstream stream;
        stream << fieldValue;
        value = stream.str();
    }
};

/** Level, format, target and limits of the log. */
struct LogOptions {
    enum class Format {
        KeyValue,
        Json
    };

    Severity level = Severity::Info;
    Format format = Format::KeyValue;
    /** Empty: standard error; "-": standard output. */
    std::filesystem::path file;
    LogQueue::Options bounds {};

    LogOptions withLevel(Severity value) const
    {
        LogOptions copy = *this;
        copy.level = value;
        return copy;
    }
    LogOptions withFormat(Format value) const
    {
        LogOptions copy = *this;
        copy.format = value;
        return copy;
    }
    LogOptions withFile(std::filesystem::path value) const
    {
        LogOptions copy = *this;
        copy.file = std::move(value);
        return copy;
    }
    LogOptions withBounds(LogQueue::Options value) const
    {
        LogOptions copy = *this;
        copy.bounds = value;
        return copy;
    }
};

/** Sets level, format and target for the process; may be called again. Thread safety: any thread. */
void configureLog(const LogOptions&);

/**
    Writes one record on one line: time, severity, number, name, fields. Never blocks on the target;
    lines beyond the limits of the options are dropped and counted. Thread safety: any thread.
*/
void logEvent(EventId, std::initializer_list<LogField> = {});

/** Writes the pending records, within a short time-out, and closes the log; the next record opens it again. Thread safety: any thread. */
void closeLog();

/** Writes one last record and exits at once, without destructors: for faults after which no state may be written. Thread safety: any thread. */
[[noreturn]] void endProcess(EventId, const std::string& reason);

/** Formats a record as logEvent() would, without the time. Thread safety: any thread. */
std::string formatEvent(EventId, std::initializer_list<LogField>, LogOptions::Format);

} // namespace hemlockchute
