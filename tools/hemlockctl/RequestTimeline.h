#pragma once

#include <boost/json/object.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Finds in the processes' logs what happened to one request.

    Its story holds the lines that name the request, and those that tell of a model or a backend
    server of its own while it was in the system. Thread safety: one thread at a time.
*/
class RequestTimeline {
public:
    /** One line of a log. */
    struct Line {
        std::string time;
        boost::json::object fields;
        /** False for a line about the model or the server only. */
        bool namesRequest = false;
    };

    explicit RequestTimeline(std::string request)
        : m_request(std::move(request))
    {
    }

    /** Reads a log to its end. Lines without a record in JSON are counted and passed over. */
    void read(std::istream&);

    /** The story by time; empty when no line names the request. */
    std::vector<Line> lines() const;
    std::size_t linesRead() const { return m_linesRead; }
    std::size_t linesSkipped() const { return m_linesSkipped; }

private:
    std::string m_request;
    std::vector<Line> m_lines;
    std::size_t m_linesRead = 0;
    std::size_t m_linesSkipped = 0;
};

/** One line as people read it: time, event and fields. Thread safety: any thread. */
std::string timelineText(const RequestTimeline::Line&);

} // namespace hemlockchute
