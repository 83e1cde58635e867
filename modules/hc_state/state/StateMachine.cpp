#include "hemlockchute/state/StateMachine.h"

#include "state/StateParts.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {

StateMachine::Options StateMachine::Options::withMaximumRunBodyBytes(std::size_t bytes) const
{
    Options options = *this;
    options.maximumRunBodyBytes = bytes;
    return options;
}

StateMachine::Options StateMachine::Options::withRememberedSubmissions(std::size_t count) const
{
    Options options = *this;
    options.rememberedSubmissions = count;
    return options;
}

StateMachine::Options StateMachine::Options::withTermLease(Duration lease) const
{
    Options options = *this;
    options.termLease = lease;
    return options;
}

//==============================================================================
struct StateMachine::Impl : StateParts {
    using StateParts::StateParts;

    Answer execute(const SubmitDocument& command) { return document.submit(command); }
    Answer execute(const AcquireTerm& command) { return terms.acquire(command, time); }
    Answer execute(const RenewTerm& command) { return terms.renew(command, time); }
    Answer execute(const ReleaseTerm& command) { return terms.release(command, time); }

    Answer execute(const RequestPermits& command)
    {
        unsigned cap = document.replicaCap(command.model);
        if (!terms.isCurrent(command.dataCentre, command.fencing))
            return permits.refuse(command.dataCentre, command.model, cap);
        return permits.request(command, cap);
    }

    Answer execute(const ReturnPermits& command)
    {
        unsigned cap = document.replicaCap(command.model);
        if (!terms.isCurrent(command.dataCentre, command.fencing))
            return permits.refuse(command.dataCentre, command.model, cap);
        return permits.returnPermits(command, cap);
    }

    Answer execute(const ClaimRun& command) { return runs.claim(command, time); }
    Answer execute(const RecordOutcome& command) { return runs.recordOutcome(command, time); }
    Answer execute(const VoidRun& command) { return runs.voidAttempt(command, time); }
    Answer execute(const AbandonRun& command) { return runs.abandon(command, time); }
};

//==============================================================================
StateMachine::StateMachine(Options options)
    : m_impl(std::make_unique<Impl>(options))
{
}

StateMachine::~StateMachine() = default;
StateMachine::StateMachine(StateMachine&&) noexcept = default;
StateMachine& StateMachine::operator=(StateMachine&&) noexcept = default;

Answer StateMachine::apply(LogIndex index, const Command& command)
{
    assert(index > m_impl->lastApplied);
    m_impl->lastApplied = index;
    m_impl->time = std::max(m_impl->time, command.time);
    m_impl->runs.removeExpired(m_impl->time);
    return std::visit([&](const auto& body) { return m_impl->execute(body); }, command.body);
}

LogIndex StateMachine::lastApplied() const
{
    return m_impl->lastApplied;
}

//==============================================================================
DocumentPointer StateMachine::document() const
{
    return m_impl->document.current();
}

RunAnswer StateMachine::run(const IdempotencyKey& key) const
{
    return m_impl->runs.read(key, m_impl->time);
}

TermAnswer StateMachine::term(const DataCentreName& dataCentre) const
{
    const TermTable::Term& term = m_impl->terms.term(dataCentre);
    bool isRunning = !term.holder.isEmpty() && m_impl->time < term.leaseEnd;
    Duration left = isRunning ? Duration(term.leaseEnd - m_impl->time) : Duration::zero();
    return { !term.holder.isEmpty(), term.fencing, term.holder, left, {} };
}

std::map<ModelName, unsigned> StateMachine::permits(const DataCentreName& dataCentre) const
{
    std::map<ModelName, unsigned> held;
    for (const auto& [model, holdings] : m_impl->permits.holdings()) {
        auto found = holdings.find(dataCentre);
        if (found != holdings.end() && found->second.held > 0)
            held[model] = found->second.held;
    }
    return held;
}

//==============================================================================
ByteString StateMachine::snapshot() const
{
    return encodeSnapshot(*m_impl);
}

Result<StateMachine, StateErrorCode> StateMachine::restore(std::string_view bytes, Options options)
{
    StateMachine machine(options);
    auto decoded = decodeSnapshot(bytes, *machine.m_impl);
    if (!decoded)
        return tl::unexpected(decoded.error());
    return machine;
}

unsigned runShard(const IdempotencyKey& key, unsigned groupCount)
{
    assert(groupCount > 0);
    return static_cast<unsigned>(Digest::of(key.text()).low() % groupCount);
}

} // namespace hemlockchute
