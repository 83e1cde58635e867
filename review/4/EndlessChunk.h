#pragma once

#include "Gateways.h"

namespace review {

//==============================================================================
/** A runner sends bytes that are no answer without end, within an answer in chunks. Sound requests are in progress beside it. */
class EndlessChunk {
public:
    EndlessChunk(Coordinators& core, const std::string& trouble, Record& record)
        : m_core(core)
        , m_isTroubled(trouble != "0")
        , m_record(record)
        , m_gateway(core, "edge-one", "lhr-gulberg", 1, record)
        , m_troubled(core.prefix() + ".71", "i-troubled", "dispatch-llm", "lhr-gulberg", R"([{"name":"m0","version":1,"adapters":[]}])")
        , m_sound(core.prefix() + ".72", "i-sound", "crew-api", "lhr-gulberg", "[]")
    {
        m_troubled.setHandler([this](int connection, const Message& request) { return answerStream(connection, request); });
        m_sound.setWork(Milliseconds(150));
    }

    int run()
    {
        static constexpr const char* zones[] = { "lhr-gulberg", "lhr-shadman", "lhr-johar" };
        static constexpr const char* names[] = { "core-one", "core-two", "core-three" };
        for (std::size_t i = 0; i < 3; ++i)
            m_core.add(names[i], zones[i]);
        for (std::size_t number : m_core.all())
            m_core.start(number, true);
        m_core.list().setEntries(m_troubled.entry() + "," + m_sound.entry());
        m_gateway.start();
        if (!m_core.findLeader(std::chrono::seconds(20)) || !sendConfiguration() || !m_gateway.awaitReady(std::chrono::seconds(20)))
            return fail("the deployment does not start");
        sleepFor(Milliseconds(contactMs));
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < soundClients; ++i)
            threads.emplace_back([this, i] { runSoundClient(i); });
        sleepFor(Milliseconds(1000));
        threads.emplace_back([this] { askForStream(); });
        watchMemory();
        m_isEnding = true;
        for (std::thread& thread : threads)
            thread.join();
        std::set<std::string> reached = m_sound.attempts();
        std::size_t lost = std::count_if(m_cut.begin(), m_cut.end(), [&](const std::string& attempt) { return reached.contains(attempt); });
        m_record.add("sound requests on kept connections: " + std::to_string(m_answered) + " answered; " + std::to_string(lost) + " were passed on to the sound runner and got no answer, as their connection was closed");
        bool holds = lost <= 3;
        m_record.add(holds ? "the rule held" : "the rule is broken");
        return holds ? ruleHeld : ruleBroken;
    }

private:
    static constexpr int contactMs = 3000;
    static constexpr unsigned soundClients = 16;
    /** Below the speed of a link, 1,000 Mbit/s. */
    static constexpr std::size_t bytesPerSecond = 100'000'000;
    static constexpr int timeoutMs = 17'000;

    int fail(const std::string& reason)
    {
        m_record.add("could not run: " + reason);
        return couldNotRun;
    }

    bool sendConfiguration()
    {
        std::string text = R"({"version":1,"routes":[)"
                           R"({"name":"priority-draft","host":"stumps.example","pathPrefix":"/draft/","routeKind":"streaming","timeoutMs":17000,"targetLatencyMs":6000,"priority":2,"service":"dispatch-llm","maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":250},)"
                           R"({"name":"crew-lookup","host":"stumps.example","pathPrefix":"/crews/","routeKind":"safe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"crew-api","maxAttempts":2,"sticky":false,"resumable":false,"gapTargetMs":250}],)"
                           R"("services":[{"name":"dispatch-llm","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":244162,"models":[{"name":"m0","weightsMb":65100.0,"loadS":6.0,"adapters":0,"adapterMb":12.0,"warmS":0.38,"diskS":1.0}],"weightsMb":220000.0,"adapterSlots":8,"loadsPerS":3.5,"hostMb":150000.0,"diskMb":1300000.0}},)"
                           R"({"name":"crew-api","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],)"
                           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
        for (int i = 0; i < 50; ++i) {
            if (m_core.send(1, text, 0) == 200)
                return true;
            sleepFor(Milliseconds(200));
        }
        return false;
    }

    /** A stream of three events; in trouble, the first chunk's head goes on until the gateway closes. */
    bool answerStream(int connection, const Message& request)
    {
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + m_troubled.answerHeaders(request) + "\r\n";
        if (!m_isTroubled) {
            std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", events.size());
            return writeAll(connection, head + size + "\r\n" + events + "\r\n0\r\n\r\n", Clock::now() + std::chrono::seconds(2));
        }
        m_record.add("the runner in trouble begins to send bytes without end");
        std::string piece(bytesPerSecond / 100, 'x');
        bool isOpen = writeAll(connection, head + "1f;", Clock::now() + std::chrono::seconds(2));
        std::size_t sent = 0;
        for (Clock::time_point next = Clock::now(); isOpen && !m_isEnding && !m_troubled.isStopping(); next += Milliseconds(10)) {
            isOpen = writeAll(connection, piece, Clock::now() + std::chrono::seconds(2));
            sent += piece.size();
            std::this_thread::sleep_until(next + Milliseconds(10));
        }
        m_record.add("the runner in trouble has sent " + std::to_string(sent / 1'000'000) + " MB; the gateway has " + (isOpen ? "not closed" : "closed"));
        return false;
    }

    std::string requestText(const std::string& method, const std::string& path, const std::string& attempt, const std::string& more) const
    {
        return method + " " + path + " HTTP/1.1\r\nHost: stumps.example\r\nAttempt-Id: " + attempt + "\r\n" + more + "\r\n";
    }

    void askForStream()
    {
        int connection = connectTo(m_gateway.front(), Milliseconds(1000));
        std::string more = "Deadline-Ms: " + std::to_string(timeoutMs) + "\r\nModel: m0\r\nToken-Usage: 646,60\r\nPrompt-Prefix: 5c1e07a2:155,91bd3f06:491\r\nContent-Length: 2\r\n";
        m_record.add("client: asks for a stream");
        writeAll(connection, requestText("POST", "/draft/1", "stream-1", more) + "{}", Clock::now() + std::chrono::seconds(2));
        std::string answer;
        char buffer[4096];
        pollfd waiting { connection, POLLIN, 0 };
        while (::poll(&waiting, 1, timeoutMs + 1000) > 0) {
            ssize_t count = ::recv(connection, buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            answer.append(buffer, static_cast<std::size_t>(count));
            if (answer.ends_with("\r\n0\r\n\r\n"))
                break;
        }
        ::close(connection);
        m_record.add("client: the stream has ended, " + (answer.empty() ? "without an answer" : "answer " + answer.substr(0, answer.find('\r'))));
        m_hasStreamEnded = true;
    }

    /** One request after the other on a kept connection. */
    void runSoundClient(unsigned client)
    {
        int connection = connectTo(m_gateway.front(), Milliseconds(1000));
        MessageReader reader(connection);
        for (unsigned i = 0; !m_isEnding; ++i) {
            std::string attempt = "sound-" + std::to_string(client) + "-" + std::to_string(i);
            writeAll(connection, requestText("GET", "/crews/1", attempt, "Deadline-Ms: 2500\r\n"), Clock::now() + Milliseconds(500));
            auto answer = reader.read(Clock::now() + Milliseconds(2500));
            std::lock_guard guard(m_lock);
            m_answered += answer ? 1 : 0;
            if (answer)
                continue;
            if (reader.isEnded())
                m_cut.push_back(attempt);
            break;
        }
        ::close(connection);
    }

    /** Ends the gateway as the platform does, once it takes more memory than its machine has. */
    void watchMemory()
    {
        double most = 0;
        pid_t process = m_gateway.process().id();
        for (Clock::time_point end = Clock::now() + Milliseconds(timeoutMs + 2000); Clock::now() < end && !m_hasStreamEnded; sleepFor(Milliseconds(5))) {
            double now = memoryOf(process, "VmRSS");
            most = std::max(most, now);
            if (now <= memoryLimit)
                continue;
            m_gateway.process().kill();
            m_record.add("platform: edge-one takes " + std::to_string(static_cast<int>(now)) + " MB, more than memoryMb, 260 MiB: killed");
            break;
        }
        sleepFor(Milliseconds(300));
        m_record.add("edge-one: took " + std::to_string(static_cast<int>(most)) + " MB at most");
    }

    Coordinators& m_core;
    bool m_isTroubled;
    Record& m_record;
    std::atomic<bool> m_isEnding { false };
    std::atomic<bool> m_hasStreamEnded { false };
    std::mutex m_lock;
    unsigned m_answered = 0;
    std::vector<std::string> m_cut;
    GatewayMachine m_gateway;
    Runner m_troubled;
    Runner m_sound;
};

inline int runCase(int argc, char** argv)
{
    return runInFolder<EndlessChunk>(argc, argv, 40'000, false);
}

} // namespace review
