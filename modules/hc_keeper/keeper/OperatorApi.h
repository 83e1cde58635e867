#pragma once

#include "hemlockchute/http/HttpServer.h"
#include "hemlockchute/keeper/KeeperOperations.h"
#include "hemlockchute/settings/HostSettings.h"
#include "keeper/OperatorMessages.h"
#include "keeper/OperatorTokens.h"

#include <mutex>

namespace hemlockchute {

//==============================================================================
/**
    Answers operators over HTTP: submissions, the document, status, run records and members
    (docs/PROTOCOLS.md, section 5).

    @code
    OperatorApi api(operations, OperatorTokens::read(file.root().table("operators")), settings.entryHosts, {});
    HttpServer server(context, {}, [&](HttpExchange& exchange) { return api.handle(exchange); });
    @endcode

    Thread safety: every method may be called from any thread.

    @see KeeperOperations
*/
class OperatorApi {
public:
    /** Bounds on time. */
    struct Options {
        Duration proposeTimeout = 10s;
        Duration memberChangeTimeout = 60s;
        /** How long an accepted submission waits to be in force in every data centre. */
        Duration inForceTimeout = 5s;
        Duration inForcePollInterval = 20ms;

        Options withProposeTimeout(Duration) const;
        Options withInForceTimeout(Duration) const;
    };

    OperatorApi(KeeperOperations&, OperatorTokens, std::vector<EntryHostAddress>, Options);

    /** Answers one request. */
    boost::asio::awaitable<void> handle(HttpExchange&);
    /** Takes other tokens from now on, as after a reload of the settings. */
    void replaceTokens(OperatorTokens);

private:
    /** A request whose sender is known. */
    struct Call {
        const HttpRequest& request;
        Submitter caller;
    };

    using Handler = boost::asio::awaitable<HttpResponse> (OperatorApi::*)(const Call&);

    struct Route {
        std::string_view method;
        std::string_view path;
        /** True when more of the path follows. */
        bool isPrefix;
        bool isForAdministrators;
        Handler handler;
    };

    static const Route routes[];

    boost::asio::awaitable<HttpResponse> answer(const HttpRequest&);
    boost::asio::awaitable<HttpResponse> submit(const Call&);
    boost::asio::awaitable<HttpResponse> showDocument(const Call&);
    boost::asio::awaitable<HttpResponse> showStatus(const Call&);
    boost::asio::awaitable<HttpResponse> showRun(const Call&);
    boost::asio::awaitable<HttpResponse> changeMembers(const Call&);
    boost::asio::awaitable<InForceReport> waitUntilInForce(DocumentVersion);
    HttpResponse answerHealth(const HttpRequest&) const;
    std::optional<Submitter> identify(const HttpRequest&) const;

    KeeperOperations& m_operations;
    mutable std::mutex m_lock;
    OperatorTokens m_tokens;
    std::vector<EntryHostAddress> m_hosts;
    Options m_options;
};

} // namespace hemlockchute
