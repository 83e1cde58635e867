#pragma once

#include <boost/json/object.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Collects the log lines of all processes that concern one request.

    These are the lines that name the request, and those about its model or its backend servers
    while it was in the system. Thread safety: one thread at a time.
*/
class RequestTimeline {
public:
    /** One log record. */
    struct Line {
        std::string time;
        boost::json::object fields;
        /** False for a line that concerns only the model or the server of the request. */
        bool namesRequest = false;
    };

    explicit RequestTimeline(std::string request)
        : m_request(std::move(request))
    {
    }

    /** Reads a log to its end. Lines without a JSON record are counted and skipped. */
    void read(std::istream&);

    /** Returns the lines in order of time; empty if no line names the request. */
    std::vector<Line> lines() const;
    std::size_t linesRead() const { return m_linesRead; }
    std::size_t linesSkipped() const { return m_linesSkipped; }

private:
    std::string m_request;
    std::vector<Line> m_lines;
    std::size_t m_linesRead = 0;
    std::size_t m_linesSkipped = 0;
};

/** Formats one line as text: time, event name and fields. Thread safety: any thread. */
std::string timelineText(const RequestTimeline::Line&);

} // namespace hemlockchute
