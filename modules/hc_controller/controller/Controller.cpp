#include "controller/Controller.h"

#include "hemlockchute/core/EventLog.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hemlockchute {

namespace asio = boost::asio;

namespace {

constexpr Duration tickInterval = 50ms;
/** Shorter than LeaseKeeper::Options::commandTimeout. */
constexpr Duration commandTimeout = 1500ms;
constexpr Duration promiseTimeout = 400ms;
constexpr Duration releaseTimeout = 1s;

PeerIdentity identityOf(const ControllerSettings& settings)
{
    return { settings.host.clusterName, settings.host.clusterKey, settings.host.name, "controller" };
}

} // namespace

Controller::Controller(asio::io_context& context, ControllerSettings settings, std::string lifeId)
    : m_context(std::make_shared<ControllerContext>(context, std::move(settings), std::move(lifeId)))
    , m_server(context, identityOf(m_context->settings))
    , m_operators(context, HttpServer::Options(), [this](HttpExchange& exchange) { return answerOperator(exchange); })
    , m_follower(context, m_context->peers, m_context->documents, m_context->settings.host.name, m_context->settings.documentSources())
    , m_tick(m_context->strand)
{
    m_server.handle(PeerMethod::FollowDocument, [this](PeerCall call) { m_context->documents.serve(std::move(call)); });
    serve(PeerMethod::ReportDemand, &Controller::answerDemand);
    serve(PeerMethod::RecordOrder, &Controller::answerRecord);
    serve(PeerMethod::ReadOrders, &Controller::answerOrders);
    serve(PeerMethod::PromiseTerm, &Controller::answerPromise);
    serve(PeerMethod::ExchangeShares, &Controller::answerShares);
}

Result<void, RoleErrorCode> Controller::start()
{
    if (auto listening = m_server.listen(m_context->settings.peers); !listening)
        return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    if (auto listening = m_operators.listen(m_context->settings.operators); !listening)
        return failureBecause(RoleErrorCode::ListenFailed, listening.error());
    auto self = shared_from_this();
    m_context->documents.onChange([self](DocumentPointer document) {
        asio::post(self->m_context->strand, [self, document] {
            if (self->m_term)
                self->m_term->setDocument(document);
        });
    });
    m_context->hostList.onChange([self](const std::vector<BackendServer>& servers) {
        asio::post(self->m_context->strand, [self, servers] {
            if (self->m_term)
                self->m_term->setServers(servers);
        });
    });
    m_follower.start();
    m_context->hostList.start();
    asio::co_spawn(
        m_context->strand, [self] { return self->keepLease(); }, asio::detached);
    return {};
}

void Controller::stop(std::function<void()> done)
{
    asio::co_spawn(
        m_context->strand, [self = shared_from_this(), done = std::move(done)] { return self->finish(done); }, asio::detached);
}

asio::awaitable<void> Controller::finish(std::function<void()> done)
{
    m_isStopping = true;
    m_tick.cancel();
    co_await giveUpTerm();
    m_follower.stop();
    m_context->hostList.stop();
    m_server.close();
    m_operators.drain(std::move(done));
}

//==============================================================================
asio::awaitable<void> Controller::keepLease()
{
    auto keep = shared_from_this();
    while (!m_isStopping) {
        tendLease();
        m_tick.expires_after(tickInterval);
        boost::system::error_code ignored;
        co_await m_tick.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void Controller::tendLease()
{
    Instant now = m_context->now();
    if (auto command = m_context->lease.nextCommand(now))
        asio::co_spawn(
            m_context->strand, [self = shared_from_this(), command = *command] { return self->propose(command); }, asio::detached);
    if (auto round = m_context->lease.nextPromiseRound(now))
        askPromises(*round);
    beginOrEndTerm();
}

asio::awaitable<void> Controller::propose(LeaseKeeper::KeeperCommand command)
{
    auto keep = shared_from_this();
    auto answer = co_await m_context->keepers.propose(command.command, commandTimeout);
    const TermAnswer* term = answer ? std::get_if<TermAnswer>(&*answer) : nullptr;
    if (term)
        m_context->lease.keeperAnswered(command.number, *term, m_context->now());
    else
        m_context->lease.keeperFailed(command.number, m_context->now());
    beginOrEndTerm();
}

void Controller::askPromises(const LeaseKeeper::PromiseRound& round)
{
    PromiseRequest request;
    request.fencing = round.fencing;
    request.length = round.length;
    for (const EntryHostAddress& host : m_context->settings.otherHosts()) {
        auto take = [self = shared_from_this(), number = round.number, name = host.name](const Result<ByteString, PeerErrorCode>& bytes) {
            auto reply = bytes ? decodePromiseReply(*bytes) : failure(ControllerMessageError::Malformed, "no reply");
            bool isPromised = reply && reply->isPromised;
            asio::post(self->m_context->strand, [self, number, name, isPromised] { self->m_context->lease.promiseAnswered(number, name, isPromised, ControllerContext::now()); });
        };
        m_context->peers.call(host.controller, PeerMethod::PromiseTerm, encodePromiseRequest(request), promiseTimeout, take);
    }
}

void Controller::beginOrEndTerm()
{
    LeaseKeeper& lease = m_context->lease;
    bool isHolder = !m_isStopping && lease.isHolder(m_context->now());
    if (m_term && (!isHolder || m_term->fencing() != lease.fencing())) {
        logEvent(EventId::ControllerTermEnded, { { "fencing", m_term->fencing() } });
        endTerm();
    }
    if (isHolder && !m_term) {
        logEvent(EventId::ControllerTermGained, { { "fencing", lease.fencing() } });
        m_term = std::make_shared<PlacementTerm>(m_context, m_held);
        m_term->start();
    }
}

/** What was ordered is kept, as another host would keep it. */
void Controller::endTerm()
{
    if (!m_term)
        return;
    m_term->stop();
    m_held = m_term->record();
    m_term.reset();
}

asio::awaitable<void> Controller::giveUpTerm()
{
    auto release = m_context->lease.release(m_context->now());
    endTerm();
    if (!release)
        co_return;
    CommandBody command = *release;
    co_await m_context->keepers.propose(command, releaseTimeout);
    PromiseRequest word;
    word.fencing = release->fencing;
    word.isReleased = true;
    for (const EntryHostAddress& host : m_context->settings.otherHosts())
        co_await m_context->peers.call(host.controller, PeerMethod::PromiseTerm, encodePromiseRequest(word), promiseTimeout);
}

//==============================================================================
void Controller::serve(PeerMethod method, Handler handler)
{
    m_server.handle(method, [this, handler](PeerCall call) {
        asio::post(m_context->strand, [self = shared_from_this(), handler, call = std::move(call)]() mutable { (self.get()->*handler)(call); });
    });
}

void Controller::answerDemand(PeerCall& call)
{
    auto report = decodeDemandReport(call.payload);
    if (!report) {
        call.reply(failureBecause(PeerErrorCode::Rejected, report.error()));
        return;
    }
    m_context->demand.report(*report, m_context->now());
    PlacementView view;
    if (m_term) {
        m_term->planSoon();
        view = m_term->view();
    } else
        view.leader = m_context->lease.leader(m_context->now());
    call.reply(encodePlacementView(view));
}

void Controller::answerRecord(PeerCall& call)
{
    auto record = decodeOrderRecord(call.payload);
    if (!record) {
        call.reply(failureBecause(PeerErrorCode::Rejected, record.error()));
        return;
    }
    if (record->fencing < m_held.fencing) {
        call.reply(failure(PeerErrorCode::Rejected, "a later leader has recorded orders here"));
        return;
    }
    bool isNewer = record->fencing > m_held.fencing || record->sequence > m_held.sequence;
    if (isNewer)
        m_held = std::move(*record);
    call.reply(ByteString());
}

void Controller::answerOrders(PeerCall& call)
{
    call.reply(encodeOrderRecord(m_held));
}

void Controller::answerPromise(PeerCall& call)
{
    auto request = decodePromiseRequest(call.payload);
    if (!request) {
        call.reply(failureBecause(PeerErrorCode::Rejected, request.error()));
        return;
    }
    PromiseReply reply;
    Instant now = m_context->now();
    if (request->isReleased)
        m_context->lease.noteReleased(now);
    else
        reply.isPromised = m_context->lease.promise(call.caller, request->length, now);
    call.reply(encodePromiseReply(reply));
}

void Controller::answerShares(PeerCall& call)
{
    auto message = decodeShareMessage(call.payload);
    auto dataCentres = m_context->settings.dataCentres();
    bool isKnown = message && message->dataCentre != m_context->settings.host.dataCentre
        && std::find(dataCentres.begin(), dataCentres.end(), message->dataCentre) != dataCentres.end();
    if (!isKnown) {
        call.reply(failure(PeerErrorCode::Rejected, "no other data centre's shares"));
        return;
    }
    ShareMessage reply;
    reply.dataCentre = m_context->settings.host.dataCentre;
    reply.isLeader = m_term != nullptr;
    reply.leader = m_context->lease.leader(m_context->now());
    if (m_term)
        reply.reports = m_term->exchangeShares(message->dataCentre, message->reports);
    call.reply(encodeShareMessage(reply));
}

//==============================================================================
asio::awaitable<void> Controller::answerOperator(HttpExchange& exchange)
{
    auto keep = shared_from_this();
    std::string path = exchange.request().path();
    HttpResponse response = HttpResponse::text(404, "no such path\n");
    if (path == "/healthz")
        response = HttpResponse::text(200, "ok\n");
    if (path == "/readyz" || path == "/metrics") {
        co_await asio::post(asio::bind_executor(m_context->strand, asio::use_awaitable));
        response = path == "/readyz" ? readiness() : metrics();
    }
    co_await exchange.respond(response);
}

HttpResponse Controller::readiness() const
{
    bool hasDocument = !m_context->documents.current()->version.isNone();
    bool hasLeader = !m_context->lease.leader(m_context->now()).isEmpty();
    if (hasDocument && hasLeader)
        return HttpResponse::text(200, "ready\n");
    return HttpResponse::text(503, hasDocument ? "no leader is known\n" : "no document is in force\n");
}

HttpResponse Controller::metrics() const
{
    auto line = [](const char* name, std::uint64_t value) { return std::string("hemlock_controller_") + name + " " + std::to_string(value) + "\n"; };
    Instant now = m_context->now();
    std::string text = line("is_leader", m_term ? 1 : 0);
    text += line("may_order", m_context->lease.mayOrder(now) ? 1 : 0);
    text += line("fencing_number", m_context->lease.fencing().value());
    text += line("document_version", m_context->documents.current()->version.value());
    text += line("orders_sent_total", m_term ? m_term->ordersSent() : 0);
    text += line("orders_unsettled", m_term && m_term->book().hasUnsettledOrders() ? 1 : 0);
    text += line("store_loads_in_flight", m_term ? m_term->book().storeLoadsInFlight(now) : 0);
    text += line("models_waited_for", m_context->demand.waitingModels(now));
    return HttpResponse::text(200, text);
}

} // namespace hemlockchute
