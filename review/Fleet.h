#pragma once

#include "Support.h"

namespace review {

/** One HTTP request or answer head, with its body. */
struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/** Reads messages that carry a length, one after the other, from a connection. Thread safety: one thread. */
class MessageReader {
public:
    explicit MessageReader(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /** Nothing when the connection ends or the time has passed. */
    std::optional<Message> read(Clock::time_point deadline)
    {
        std::size_t end = std::string::npos;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
        }
        Message message = parse(m_bytes.substr(0, end));
        std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        while (m_bytes.size() < end + 4 + length) {
            if (!receive(deadline))
                return std::nullopt;
        }
        message.body = m_bytes.substr(end + 4, length);
        m_bytes.erase(0, end + 4 + length);
        return message;
    }

    /** True once the peer has closed or reset the connection. */
    bool isEnded() const { return m_isEnded; }

private:
    static Message parse(const std::string& head)
    {
        Message message;
        std::istringstream lines(head);
        std::getline(lines, message.startLine);
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            std::size_t colon = line.find(": ");
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
            message.headers[name] = line.substr(colon + 2);
        }
        return message;
    }

    bool receive(Clock::time_point deadline)
    {
        auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd waiting { m_descriptor, POLLIN, 0 };
        char buffer[65536];
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
        ssize_t count = ::recv(m_descriptor, buffer, sizeof buffer, 0);
        m_isEnded = count <= 0;
        if (count > 0)
            m_bytes.append(buffer, static_cast<std::size_t>(count));
        return count > 0;
    }

    int m_descriptor;
    std::string m_bytes;
    bool m_isEnded = false;
};

//==============================================================================
/** A server with a thread for each connection. The function serves a connection, which is closed when it returns. Thread safety: any thread. */
class ThreadedServer {
public:
    using Serve = std::function<void(int connection)>;

    ThreadedServer(Address address, Serve serve)
        : m_address(std::move(address))
        , m_serve(std::move(serve))
        , m_descriptor(listenAt(m_address))
        , m_thread([this] { accept(); })
    {
    }
    ~ThreadedServer()
    {
        m_isStopping = true;
        m_thread.join();
        while (m_connections > 0)
            sleepFor(Milliseconds(5));
        ::close(m_descriptor);
    }
    ThreadedServer(const ThreadedServer&) = delete;
    ThreadedServer& operator=(const ThreadedServer&) = delete;

    const Address& address() const { return m_address; }
    bool isStopping() const { return m_isStopping; }

private:
    void accept()
    {
        while (!m_isStopping) {
            pollfd waiting { m_descriptor, POLLIN, 0 };
            if (::poll(&waiting, 1, 50) <= 0)
                continue;
            int connection = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            int yes = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            ++m_connections;
            std::thread([this, connection] {
                m_serve(connection);
                ::close(connection);
                --m_connections;
            }).detach();
        }
    }

    Address m_address;
    Serve m_serve;
    int m_descriptor;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_connections { 0 };
    std::thread m_thread;
};

inline std::string answerText(const std::string& status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//==============================================================================
/**
    A runner. Without a handler for requests it is sound: it works for some time and answers with a
    short body. It reports what it holds and answers orders as if it held all that they ask for.

    Thread safety: any thread.
*/
class Runner {
public:
    /** Answers a request on the connection; false ends the connection. */
    using Handler = std::function<bool(int connection, const Message&)>;

    Runner(const std::string& host, std::string id, std::string service, std::string zone, std::string models)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_models(std::move(models))
        , m_server({ host, 0 }, [this](int connection) { serve(connection); })
    {
    }

    void setHandler(Handler handler) { m_handler = std::move(handler); }
    void setWork(Milliseconds time) { m_work = time; }
    bool isStopping() const { return m_server.isStopping(); }

    /** The entry in the platform's list. */
    std::string entry() const
    {
        return "{\"service\":" + inQuotes(m_service) + ",\"addr\":" + inQuotes(m_server.address().text()) + ",\"zone\":" + inQuotes(m_zone)
            + R"(,"version":"v1","slots":64,"state":"ready","coldLeftMs":0,"stage":"both","models":)" + m_models + ",\"id\":" + inQuotes(m_id) + ",\"born\":1700000000000}";
    }

    /** The headers that each answer to a request bears. */
    std::string answerHeaders(const Message& request) const
    {
        return "Attempt-Id: " + request.header("attempt-id") + "\r\nServer-Seal: seal-" + m_id + "\r\n";
    }

    /** The attempts that reached this runner. */
    std::set<std::string> attempts()
    {
        std::lock_guard guard(m_lock);
        return m_attempts;
    }

private:
    void serve(int connection)
    {
        MessageReader reader(connection);
        bool isOpen = true;
        while (isOpen && !isStopping()) {
            auto request = reader.read(Clock::now() + Milliseconds(100));
            if (!request) {
                isOpen = !reader.isEnded();
                continue;
            }
            isOpen = answer(connection, *request);
        }
    }

    bool answer(int connection, const Message& request)
    {
        Clock::time_point deadline = Clock::now() + std::chrono::seconds(2);
        if (request.startLine.find("/hemlockchute/report") != std::string::npos) {
            std::string report = "{\"stage\":\"both\",\"models\":" + m_models + R"(,"busy":false,"sequence":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0,"born":1700000000000})";
            return writeAll(connection, answerText("200 OK", "Content-Type: application/json\r\n", report), deadline);
        }
        if (request.startLine.find("/hemlockchute/order") != std::string::npos || request.startLine.find("/healthz") != std::string::npos)
            return writeAll(connection, answerText("200 OK", "Instance-Id: " + m_id + "\r\n", {}), deadline);
        {
            std::lock_guard guard(m_lock);
            m_attempts.insert(request.header("attempt-id"));
        }
        if (m_handler)
            return m_handler(connection, request);
        sleepFor(m_work);
        return writeAll(connection, answerText("200 OK", answerHeaders(request), "found"), deadline);
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_models;
    Milliseconds m_work { 30 };
    Handler m_handler;
    std::mutex m_lock;
    std::set<std::string> m_attempts;
    ThreadedServer m_server;
};

} // namespace review
