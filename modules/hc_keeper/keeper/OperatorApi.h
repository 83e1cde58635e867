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
    The operators' HTTP interface: document submission, the current document, status, run records
    and membership changes (docs/PROTOCOLS.md, section 5).

    @code
    OperatorApi api(operations, OperatorTokens::read(file.root().table("operators")), settings.entryHosts, {});
    HttpServer server(context, {}, [&](HttpExchange& exchange) { return api.handle(exchange); });
    @endcode

    Thread safety: every method may be called from any thread.

    @see KeeperOperations
*/
class OperatorApi {
public:
    /** Time-outs and intervals. */
    struct Options {
        Duration proposeTimeout = 10s;
        Duration memberChangeTimeout = 60s;
        /** How long the answer to an accepted submission waits until the document is in force in every data centre. */
        Duration inForceTimeout = 5s;
        Duration inForcePollInterval = 20ms;

        Options withProposeTimeout(Duration) const;
        Options withInForceTimeout(Duration) const;
    };

    OperatorApi(KeeperOperations&, OperatorTokens, std::vector<EntryHostAddress>, Options);

    boost::asio::awaitable<void> handle(HttpExchange&);
    /** Replaces the tokens, as after a reload of the settings. */
    void replaceTokens(OperatorTokens);

private:
    /** An authenticated request. */
    struct Call {
        const HttpRequest& request;
        Submitter caller;
    };

    using Handler = boost::asio::awaitable<HttpResponse> (OperatorApi::*)(const Call&);

    struct Route {
        std::string_view method;
        std::string_view path;
        /** True when `path` is a prefix of the paths that match. */
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
