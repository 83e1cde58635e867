#include "coordinator/Coordinator.h"

#include "hemlockchute/core/EventLog.h"

#include <algorithm>
#include <boost/json.hpp>

namespace hemlockchute {
namespace {

namespace asio = boost::asio;

constexpr unsigned statusOk = 200;
constexpr unsigned statusInvalid = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusNotAllowed = 405;
constexpr unsigned statusUnavailable = 503;

/** How often a pending call checks for a new leader. */
constexpr Duration leaderPollInterval = 25ms;
/** A coordinator that has not joined asks for the leader every 500 ms; the last reply stays valid across one lost answer. */
constexpr Duration namedLeaderLifetime = 1200ms;

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

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
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
constexpr MetricDefinition suspendedMetric { "hemlock_coordinator_storage_refused", "Whether this host takes no part in the group because its disk refuses writes, 1 or 0." };
constexpr MetricDefinition learnersMetric { "hemlock_coordinator_learners", "Members of the group that do not vote." };

// Coroutines hold no braced lists (docs/STYLE.md), so their log lines are written here.

void logRefused(ConfigurationVersion version, unsigned status, std::string_view reason)
{
    logEvent(EventId::CoordinatorConfigurationRefused, { { "version", version }, { "status", status }, { "reason", reason } });
}

void logReceived(ConfigurationVersion version, ConfigurationVersion inForce, const GroupStatus& status)
{
    logEvent(EventId::CoordinatorConfigurationReceived, { { "version", version }, { "in_force", inForce }, { "leader", status.leader ? status.leader->keeper : KeeperId() }, { "term", status.term } });
}

template <typename Version>
void logAgreed(ConfigurationVersion version, const Version& inForce, bool hasChanged, Duration waited)
{
    logEvent(EventId::CoordinatorConfigurationAgreed, { { "version", version }, { "in_force", inForce }, { "changed", hasChanged }, { "waited_ms", milliseconds(waited) } });
}

/** Why a call failed; a pending attempt takes precedence over an earlier failure. */
std::string reasonOf(const LeaderRetryPolicy& policy, const std::string& lastError)
{
    if (policy.attemptCount() == 0)
        return "no leader is known";
    return policy.pendingAttempts() > 0 ? "the leader did not answer in time" : lastError;
}

} // namespace

//==============================================================================
/** One attempt at a coordinator that was believed to be leader, and its result. */
struct Coordinator::Attempt {
    LeaderRetryPolicy::Target target;
    Instant startedAt;
    std::optional<KeeperReply> reply;
    /** Why there is no reply. */
    std::string error;

    bool isAnswered() const { return reply && reply->kind == KeeperReply::Kind::Answered; }
    /** Precondition: not answered. */
    std::string reason() const
    {
        if (!reply)
            return error;
        return reply->kind == KeeperReply::Kind::NotLeader ? "the coordinator asked does not lead" : "leadership was lost before it was agreed on";
    }
};

void Coordinator::logAttemptFailed(const Attempt& attempt)
{
    logEvent(EventId::CoordinatorLeaderCallFailed, { { "leader", attempt.target.leader }, { "term", attempt.target.term }, { "reason", attempt.reason() }, { "took_ms", milliseconds(currentTime() - attempt.startedAt) } });
}

//==============================================================================
asio::awaitable<void> Coordinator::answer(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    bool isKnown = m_platform.isConfigurationPath(request.target);
    if (isKnown && request.method == "PUT") {
        co_await handleSubmission(exchange);
        co_return;
    }
    if (isKnown && request.method == "GET") {
        co_await showConfiguration(exchange);
        co_return;
    }
    HttpResponse response = isKnown ? problem(statusNotAllowed, "the configuration can be read and replaced") : problem(statusNotFound, "nothing here");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Coordinator::handleSubmission(HttpExchange& exchange)
{
    const ByteString& body = exchange.request().body;
    auto configuration = m_platform.decodeConfiguration(body);
    if (!configuration) {
        logRefused(ConfigurationVersion(), statusInvalid, configuration.error().detail);
        HttpResponse response = problem(statusInvalid, configuration.error().detail);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ConfigurationVersion version = (*configuration)->version();
    logReceived(version, m_register.current()->version, m_group.status());
    if (version <= m_register.current()->version) {
        logAgreed(version, m_register.current()->version.value(), false, Duration());
        HttpResponse response = HttpResponse::json(statusOk, "{}");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ByteString command = commandOf(version, body);
    auto answer = co_await callLeader(PeerMethod::SubmitConfiguration, std::move(command));
    if (!answer.reply) {
        logRefused(version, statusUnavailable, answer.reason);
        HttpResponse response = problem(statusUnavailable, "the configuration was not agreed on in time; it may yet come into force");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    logAgreed(version, *answer.reply, true, answer.waited);
    HttpResponse response = HttpResponse::json(statusOk, "{}");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Coordinator::showConfiguration(HttpExchange& exchange)
{
    ByteString nothing;
    auto answer = co_await callLeader(PeerMethod::ReadConfiguration, std::move(nothing));
    std::string reason = answer.reason;
    if (answer.reply) {
        auto configuration = decodeConfigurationBody(*answer.reply);
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
/** Sends the call to each leader that becomes known, until one answers or the call times out. */
asio::awaitable<Coordinator::LeaderAnswer> Coordinator::callLeader(PeerMethod method, ByteString payload)
{
    Instant startedAt = currentTime();
    LeaderRetryPolicy policy(LeaderRetryPolicy::Options().withTimeout(m_settings.operatorTimeout), startedAt);
    auto attempts = std::make_shared<Attempts>(m_context.get_executor());
    LeaderAnswer answer;
    while (!answer.reply && !policy.hasExpired(currentTime())) {
        GroupStatus status = m_group.status();
        std::optional<KeeperId> leader = knownLeader(status, currentTime());
        auto target = policy.nextTarget(leader, status.term, currentTime());
        if (target)
            startAttempt(*target, method, payload, policy.deadline(), attempts);
        auto attempt = co_await attempts->take(std::min(policy.deadline(), currentTime() + leaderPollInterval));
        if (!attempt)
            continue;
        if (attempt->isAnswered())
            answer.reply = std::move(attempt->reply->answer);
        else {
            policy.noteFailed(attempt->target, currentTime());
            answer.reason = attempt->reason();
            logAttemptFailed(*attempt);
        }
    }
    answer.waited = currentTime() - startedAt;
    if (!answer.reply)
        answer.reason = reasonOf(policy, answer.reason);
    co_return answer;
}

/** The attempt may outlive the operator's call; a late answer is then dropped. */
void Coordinator::startAttempt(LeaderRetryPolicy::Target target, PeerMethod method, const ByteString& payload, Instant deadline, const std::shared_ptr<Attempts>& attempts)
{
    Instant startedAt = currentTime();
    if (target.leader != m_id) {
        m_client.call(endpointOf(target.leader), method, payload, deadline - startedAt, [attempts, target, startedAt](const Result<ByteString, PeerErrorCode>& bytes) {
            attempts->put({ target, startedAt, readReply(bytes), bytes ? "the answer cannot be read" : bytes.error().detail });
        });
        return;
    }
    ReplicatedGroup::Reply take = [attempts, target, startedAt](GroupReply reply) { attempts->put({ target, startedAt, keeperReply(std::move(reply)), {} }); };
    if (method == PeerMethod::SubmitConfiguration)
        proposeHere(payload, take);
    else
        readHere(take);
}

/** The leader of the group; for a coordinator that has not joined yet, the one that another coordinator reported. */
std::optional<KeeperId> Coordinator::knownLeader(const GroupStatus& status, Instant now) const
{
    if (status.leader)
        return status.leader->keeper;
    bool isFresh = m_namedLeader && now - m_namedLeader->reportedAt < namedLeaderLifetime;
    return isFresh ? std::optional(m_namedLeader->leader) : std::nullopt;
}

asio::awaitable<void> Coordinator::answerMetrics(HttpExchange& exchange)
{
    GroupStatus status = m_group.status();
    m_metrics.set(leadsMetric, status.isLeader ? 1 : 0);
    m_metrics.set(givesOrdersMetric, m_givesOrders ? 1 : 0);
    m_metrics.set(termMetric, static_cast<double>(status.term.value()));
    m_metrics.set(versionMetric, static_cast<double>(m_register.current()->version.value()));
    m_metrics.set(votersMetric, static_cast<double>(status.membership.voters.size()));
    m_metrics.set(suspendedMetric, status.isSuspended ? 1 : 0);
    m_metrics.set(learnersMetric, static_cast<double>(status.membership.learners.size()));
    HttpResponse response = HttpResponse::text(statusOk, m_metrics.snapshot().prometheusText() + m_requestMemory->prometheusText());
    co_await exchange.respond(std::move(response));
}

} // namespace hemlockchute
