#include "coordinator/Coordinator.h"

#include "hemlockchute/core/EventLog.h"
#include "hemlockchute/fleet/PendingResult.h"

#include <boost/json.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusOk = 200;
constexpr unsigned statusInvalid = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusNotAllowed = 405;
constexpr unsigned statusUnavailable = 503;

constexpr Duration leaderPause = 50ms;

HttpResponse problem(unsigned status, std::string_view title)
{
    boost::json::object body { { "title", title } };
    return { status, { { "Content-Type", "application/problem+json" } }, boost::json::serialize(body) };
}

std::optional<KeeperReply> readReply(const Result<ByteString, PeerErrorCode>& bytes)
{
    if (!bytes)
        return std::nullopt;
    auto reply = decodeKeeperReply(*bytes);
    return reply ? std::optional(std::move(*reply)) : std::nullopt;
}

ByteString commandOf(ConfigurationVersion version, const ByteString& body)
{
    return encodeConfigurationBody({ version, body });
}

constexpr MetricDefinition leadsMetric { "hemlock_coordinator_leads", "Whether this host leads the group, 1 or 0." };
constexpr MetricDefinition givesOrdersMetric { "hemlock_coordinator_gives_orders", "Whether this host gives orders to servers, 1 or 0." };
constexpr MetricDefinition termMetric { "hemlock_coordinator_term", "The latest term of the group that is known here." };
constexpr MetricDefinition versionMetric { "hemlock_coordinator_configuration_version", "The configuration that is known to be agreed on here." };
constexpr MetricDefinition votersMetric { "hemlock_coordinator_voters", "Members of the group that vote." };
constexpr MetricDefinition learnersMetric { "hemlock_coordinator_learners", "Members of the group that do not vote." };

// Coroutines hold no braced lists (docs/STYLE.md), so their log lines are written here.

void noteRefused(ConfigurationVersion version, unsigned status, std::string_view reason)
{
    logEvent(EventId::CoordinatorConfigurationRefused, { { "version", version }, { "status", status }, { "reason", reason } });
}

void noteReceived(ConfigurationVersion version, ConfigurationVersion inForce, const GroupStatus& status)
{
    logEvent(EventId::CoordinatorConfigurationReceived, { { "version", version }, { "in_force", inForce }, { "leader", status.leader ? status.leader->keeper : KeeperId() }, { "term", status.term } });
}

/** Says why one attempt to reach the leader's answer came to nothing. */
void noteAttemptFailed(KeeperId leader, std::string_view reason, Instant began)
{
    auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
    logEvent(EventId::CoordinatorLeaderCallFailed, { { "leader", leader }, { "reason", reason }, { "took_ms", took.count() } });
}

std::string_view reasonOf(const std::optional<KeeperReply>& reply, std::string_view withoutReply)
{
    if (!reply)
        return withoutReply;
    return reply->kind == KeeperReply::Kind::NotLeader ? "the coordinator asked does not lead" : "leadership was lost before it was agreed on";
}

template <typename Version>
void noteAgreed(ConfigurationVersion version, const Version& inForce, bool hasChanged)
{
    logEvent(EventId::CoordinatorConfigurationAgreed, { { "version", version }, { "in_force", inForce }, { "changed", hasChanged } });
}

} // namespace

asio::awaitable<void> Coordinator::answer(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    bool isKnown = m_platform.isConfigurationPath(request.target);
    if (isKnown && request.method == "PUT") {
        co_await takeSubmission(exchange);
        co_return;
    }
    if (isKnown && request.method == "GET") {
        co_await showConfiguration(exchange);
        co_return;
    }
    HttpResponse response = isKnown ? problem(statusNotAllowed, "the configuration can be read and replaced") : problem(statusNotFound, "nothing here");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Coordinator::takeSubmission(HttpExchange& exchange)
{
    const ByteString& body = exchange.request().body;
    auto configuration = m_platform.decodeConfiguration(body);
    if (!configuration) {
        noteRefused(ConfigurationVersion(), statusInvalid, configuration.error().detail);
        HttpResponse response = problem(statusInvalid, configuration.error().detail);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ConfigurationVersion version = (*configuration)->version();
    noteReceived(version, m_register.current()->version, m_group.status());
    if (version <= m_register.current()->version) {
        noteAgreed(version, m_register.current()->version.value(), false);
        HttpResponse response = HttpResponse::json(statusOk, "{}");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ByteString command = commandOf(version, body);
    auto reply = co_await askLeader(PeerMethod::SubmitConfiguration, std::move(command));
    bool isAgreed = reply && reply->kind == KeeperReply::Kind::Answered;
    if (!isAgreed) {
        noteRefused(version, statusUnavailable, "not agreed on in time");
        HttpResponse response = problem(statusUnavailable, "the configuration was not agreed on in time; it may yet come into force");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    noteAgreed(version, reply->answer, true);
    HttpResponse response = HttpResponse::json(statusOk, "{}");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Coordinator::showConfiguration(HttpExchange& exchange)
{
    ByteString nothing;
    auto reply = co_await askLeader(PeerMethod::ReadConfiguration, std::move(nothing));
    bool isRead = reply && reply->kind == KeeperReply::Kind::Answered;
    std::string reason = "no leader answered in time";
    if (isRead) {
        auto configuration = decodeConfigurationBody(reply->answer);
        if (configuration && !configuration->version.isNone()) {
            HttpResponse response = HttpResponse::json(statusOk, std::move(configuration->body));
            co_await exchange.respond(std::move(response));
            co_return;
        }
        reason = configuration ? "there is no configuration yet" : configuration.error().detail;
    }
    HttpResponse response = problem(statusUnavailable, reason);
    co_await exchange.respond(std::move(response));
}

//==============================================================================
/** Asks the leader, wherever it is, until it answers or the operator's patience ends. */
asio::awaitable<Coordinator::Reply> Coordinator::askLeader(PeerMethod method, ByteString payload)
{
    Instant deadline = std::chrono::steady_clock::now() + m_settings.operatorPatience;
    Reply reply;
    while (std::chrono::steady_clock::now() < deadline) {
        GroupStatus status = m_group.status();
        Instant began = std::chrono::steady_clock::now();
        KeeperId asked;
        std::string fault = "no leader is known";
        if (status.isLeader) {
            asked = m_id;
            fault = "not agreed on and applied in time";
            reply = co_await askHere(method, payload, deadline);
        } else if (status.leader) {
            asked = status.leader->keeper;
            Endpoint leader = endpointOf(asked);
            Duration left = deadline - std::chrono::steady_clock::now();
            auto bytes = co_await m_client.call(leader, method, payload, left);
            reply = readReply(bytes);
            fault = bytes ? "the answer cannot be read" : bytes.error().detail;
        }
        if (reply && reply->kind == KeeperReply::Kind::Answered)
            co_return reply;
        noteAttemptFailed(asked, reasonOf(reply, fault), began);
        asio::steady_timer timer(m_context);
        timer.expires_after(leaderPause);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return reply;
}

asio::awaitable<Coordinator::Reply> Coordinator::askHere(PeerMethod method, ByteString payload, Instant deadline)
{
    auto pending = std::make_shared<PendingResult<GroupReply>>(m_context.get_executor());
    ReplicatedGroup::Reply take = [pending](GroupReply reply) { pending->set(std::move(reply)); };
    if (method == PeerMethod::SubmitConfiguration)
        proposeHere(payload, take);
    else
        readHere(take);
    auto reply = co_await pending->wait(deadline);
    if (!reply)
        co_return std::nullopt;
    co_return keeperReply(std::move(*reply));
}

asio::awaitable<void> Coordinator::answerMetrics(HttpExchange& exchange)
{
    GroupStatus status = m_group.status();
    m_metrics.set(leadsMetric, status.isLeader ? 1 : 0);
    m_metrics.set(givesOrdersMetric, m_givesOrders ? 1 : 0);
    m_metrics.set(termMetric, static_cast<double>(status.term.value()));
    m_metrics.set(versionMetric, static_cast<double>(m_register.current()->version.value()));
    m_metrics.set(votersMetric, static_cast<double>(status.membership.voters.size()));
    m_metrics.set(learnersMetric, static_cast<double>(status.membership.learners.size()));
    HttpResponse response = HttpResponse::text(statusOk, m_metrics.snapshot().prometheusText());
    co_await exchange.respond(std::move(response));
}

} // namespace hemlockchute
