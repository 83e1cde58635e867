#pragma once

// Helpers for the scripts of the review. They use POSIX and the standard library only, so that a
// script needs nothing from the project but its daemons and the templates in deploy/.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** The exit codes of a script. */
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

inline void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

//==============================================================================
/** Writes what was sent, answered and run, with the milliseconds since the start. Thread safety: any thread. */
class Record {
public:
    explicit Record(const std::filesystem::path& path)
        : m_file(path, std::ios::trunc)
    {
    }

    void add(const std::string& line)
    {
        auto at = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
        std::lock_guard guard(m_lock);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8lld ", static_cast<long long>(at));
        m_file << stamp << line << std::endl;
        std::printf("%s%s\n", stamp, line.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_lock;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

//==============================================================================
/** A child process; killed by its id in the destructor. Thread safety: one thread at a time. */
class Child {
public:
    Child(const std::vector<std::string>& command, const std::filesystem::path& output)
    {
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (const std::string& word : command)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        std::string log = output.string();
        m_id = ::fork();
        if (m_id != 0)
            return;
        // It ends with the script, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(descriptor, STDOUT_FILENO);
        ::dup2(descriptor, STDERR_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ~Child() { kill(); }
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    pid_t id() const { return m_id; }

    void signal(int number) const
    {
        if (m_id > 0)
            ::kill(m_id, number);
    }

    void kill()
    {
        if (m_id <= 0)
            return;
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = 0;
    }

    /** The wait status of a process that ended by itself; nothing while it runs. */
    std::optional<int> ended()
    {
        int status = 0;
        if (m_id <= 0 || ::waitpid(m_id, &status, WNOHANG) != m_id)
            return std::nullopt;
        m_id = 0;
        return status;
    }

private:
    pid_t m_id = 0;
};

//==============================================================================
struct Address {
    std::string host;
    unsigned short port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/** Listens, at a free port if the port is 0, which is then set. Returns -1 on an error. */
inline int listenAt(Address& address)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in name = socketAddress(address);
    socklen_t size = sizeof name;
    bool isOpen = ::bind(descriptor, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0 && ::listen(descriptor, 256) == 0
        && ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size) == 0;
    if (!isOpen) {
        ::close(descriptor);
        return -1;
    }
    address.port = ntohs(name.sin_port);
    return descriptor;
}

/** A port that is free at the address now. */
inline unsigned short freePort(const std::string& host)
{
    Address address { host, 0 };
    int descriptor = listenAt(address);
    if (descriptor >= 0)
        ::close(descriptor);
    return address.port;
}

/** A prefix "127.A.B" for the loopback addresses of one run. */
inline std::string loopbackPrefix()
{
    unsigned number = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(10 + number / 200 % 200) + "." + std::to_string(10 + number % 200);
}

/** Connects within the time; -1 on an error. */
inline int connectTo(const Address& address, Milliseconds time)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in name = socketAddress(address);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    pollfd waiting { descriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    bool isConnected = ::poll(&waiting, 1, static_cast<int>(time.count())) == 1 && ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    if (!isConnected) {
        ::close(descriptor);
        return -1;
    }
    int yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return descriptor;
}

inline bool writeAll(int descriptor, std::string_view bytes, Clock::time_point deadline)
{
    while (!bytes.empty()) {
        ssize_t count = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd waiting { descriptor, POLLOUT, 0 };
        if ((errno != EAGAIN && errno != EINTR) || left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) < 0)
            return false;
    }
    return true;
}

//==============================================================================
/** An answer to an HTTP call; status 0 if none came in time. */
struct Answer {
    int status = 0;
    std::string body;
};

/** One HTTP call on a new connection. */
inline Answer call(const Address& address, const std::string& method, const std::string& path, const std::string& body, Milliseconds time)
{
    Clock::time_point deadline = Clock::now() + time;
    Answer answer;
    int descriptor = connectTo(address, time);
    if (descriptor < 0)
        return answer;
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + address.text() + "\r\nConnection: close\r\n";
    if (method != "GET")
        request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;
    std::string bytes;
    std::size_t headEnd = std::string::npos;
    std::size_t length = std::string::npos;
    bool isOpen = writeAll(descriptor, request, deadline);
    while (isOpen && (headEnd == std::string::npos || bytes.size() < headEnd + length)) {
        auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd waiting { descriptor, POLLIN, 0 };
        char buffer[16384];
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            break;
        ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0)
            break;
        bytes.append(buffer, static_cast<std::size_t>(count));
        if (headEnd != std::string::npos)
            continue;
        std::size_t end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        headEnd = end + 4;
        std::size_t field = bytes.find("Content-Length: ");
        if (field < end)
            length = std::strtoul(bytes.c_str() + field + 16, nullptr, 10);
    }
    ::close(descriptor);
    if (headEnd == std::string::npos || bytes.size() < headEnd + length)
        return answer;
    answer.status = std::atoi(bytes.c_str() + bytes.find(' '));
    answer.body = bytes.substr(headEnd, length);
    return answer;
}

//==============================================================================
/** The platform's list; empty until it is given entries. Thread safety: any thread. */
class PlatformList {
public:
    explicit PlatformList(Address address)
        : m_address(std::move(address))
        , m_descriptor(listenAt(m_address))
        , m_thread([this] { serve(); })
    {
    }
    ~PlatformList()
    {
        m_isStopping = true;
        m_thread.join();
        ::close(m_descriptor);
    }
    PlatformList(const PlatformList&) = delete;
    PlatformList& operator=(const PlatformList&) = delete;

    const Address& address() const { return m_address; }

    /** Sets the entries, separated by commas. */
    void setEntries(std::string entries)
    {
        std::lock_guard guard(m_lock);
        m_entries = std::move(entries);
    }

private:
    std::string page()
    {
        std::lock_guard guard(m_lock);
        return "{\"instances\":[" + m_entries + "],\"nextToken\":null}";
    }

    void serve()
    {
        while (!m_isStopping) {
            pollfd waiting { m_descriptor, POLLIN, 0 };
            if (::poll(&waiting, 1, 50) <= 0)
                continue;
            int connection = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            char buffer[4096];
            pollfd readable { connection, POLLIN, 0 };
            if (::poll(&readable, 1, 500) > 0 && ::recv(connection, buffer, sizeof buffer, 0) > 0) {
                std::string body = page();
                writeAll(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, Clock::now() + Milliseconds(500));
            }
            ::close(connection);
        }
    }

    Address m_address;
    std::mutex m_lock;
    std::string m_entries;
    int m_descriptor;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

//==============================================================================
/**
    The links between machines: a TCP proxy before each machine's internal port. A connection's first
    message names the calling machine, so that the link between two machines can be cut. A cut holds
    the bytes back in both directions until it is healed, as TCP does across a partition. What a
    machine has sent on a connection that it has closed since, as by its end, is lost.

    Thread safety: any thread.
*/
class Links {
public:
    ~Links()
    {
        m_isStopping = true;
        for (std::thread& thread : m_listeners)
            thread.join();
        while (m_openConnections > 0)
            sleepFor(Milliseconds(5));
    }

    /** Forwards connections from `front` to `target`, the machine `name`. Returns false if it cannot listen. */
    bool add(const std::string& name, Address front, const Address& target)
    {
        int descriptor = listenAt(front);
        if (descriptor < 0)
            return false;
        m_names.push_back(name);
        m_listeners.emplace_back([this, name, target, descriptor] { listen(name, target, descriptor); });
        return true;
    }

    void cut(const std::string& a, const std::string& b) { set(a, b, true); }
    void heal(const std::string& a, const std::string& b) { set(a, b, false); }

private:
    void set(const std::string& a, const std::string& b, bool isCut)
    {
        std::lock_guard guard(m_lock);
        for (const auto& pair : { std::pair(a, b), std::pair(b, a) }) {
            if (isCut)
                m_cuts.insert(pair);
            else
                m_cuts.erase(pair);
        }
    }

    bool isCut(const std::string& from, const std::string& to)
    {
        std::lock_guard guard(m_lock);
        return m_cuts.contains({ from, to });
    }

    void listen(const std::string& name, const Address& target, int descriptor)
    {
        while (!m_isStopping) {
            pollfd waiting { descriptor, POLLIN, 0 };
            if (::poll(&waiting, 1, 50) <= 0)
                continue;
            int client = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0)
                continue;
            ++m_openConnections;
            std::thread([this, name, target, client] {
                forward(name, target, client);
                ::close(client);
                --m_openConnections;
            }).detach();
        }
        ::close(descriptor);
    }

    /** The calling machine, once its first message has come in; the bytes are kept in `first`. */
    std::string readCaller(int client, std::string& first)
    {
        while (!m_isStopping) {
            pollfd waiting { client, POLLIN, 0 };
            if (::poll(&waiting, 1, 50) <= 0)
                continue;
            char buffer[4096];
            ssize_t count = ::recv(client, buffer, sizeof buffer, 0);
            if (count <= 0)
                return {};
            first.append(buffer, static_cast<std::size_t>(count));
            for (const std::string& name : m_names) {
                if (first.find(name) != std::string::npos)
                    return name;
            }
        }
        return {};
    }

    void forward(const std::string& to, const Address& target, int client)
    {
        std::string first;
        std::string from = readCaller(client, first);
        if (from.empty())
            return;
        bool wasCut = false;
        while (!m_isStopping && isCut(from, to)) {
            wasCut = true;
            sleepFor(Milliseconds(2));
        }
        if (wasCut && isClosed(client))
            return;
        int server = connectTo(target, Milliseconds(500));
        if (server < 0)
            return;
        bool isOpen = writeAll(server, first, Clock::now() + Milliseconds(500));
        wasCut = false;
        while (isOpen && !m_isStopping) {
            if (isCut(from, to)) {
                wasCut = true;
                sleepFor(Milliseconds(2));
                continue;
            }
            if (std::exchange(wasCut, false) && (isClosed(client) || isClosed(server)))
                break;
            pollfd waiting[] = { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
            if (::poll(waiting, 2, 5) <= 0 || isCut(from, to))
                continue;
            isOpen = (!waiting[0].revents || pump(client, server)) && (!waiting[1].revents || pump(server, client));
        }
        // A close with unread bytes resets, as at the end of a process.
        ::close(server);
    }

    static bool isClosed(int descriptor)
    {
        pollfd state { descriptor, POLLRDHUP, 0 };
        return ::poll(&state, 1, 0) > 0;
    }

    static bool pump(int from, int to)
    {
        char buffer[65536];
        ssize_t count = ::recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        return count > 0 && writeAll(to, std::string_view(buffer, static_cast<std::size_t>(count)), Clock::now() + std::chrono::seconds(5));
    }

    std::mutex m_lock;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<std::string> m_names;
    std::vector<std::thread> m_listeners;
    std::atomic<int> m_openConnections { 0 };
    std::atomic<bool> m_isStopping { false };
};

//==============================================================================
inline std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Fills in a template of deploy/; each key stands for the placeholder with its name. */
inline std::string fillTemplate(std::string text, const std::map<std::string, std::string>& values)
{
    for (const auto& [key, value] : values) {
        for (std::size_t at = text.find("{{" + key + "}}"); at != std::string::npos; at = text.find("{{" + key + "}}", at + value.size()))
            text.replace(at, key.size() + 4, value);
    }
    return text;
}

inline std::string inQuotes(const std::string& text)
{
    return "\"" + text + "\"";
}

/** The value of a metric without labels; -1 if it is not shown. */
inline double metric(const std::string& page, const std::string& name)
{
    std::size_t at = page.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::strtod(page.c_str() + at + name.size() + 2, nullptr);
}

} // namespace review
