#include "keeper/AgreementGroup.h"

namespace hemlockchute {
namespace {

ReplicatedGroup::Reply forwardTo(AgreementGroup::Reply reply)
{
    return [reply = std::move(reply)](GroupReply answer) { reply(keeperReply(std::move(answer))); };
}

} // namespace

AgreementGroup::Options AgreementGroup::Options::withReplica(Replica::Options value) const
{
    Options copy = *this;
    copy.group.replica = value;
    return copy;
}

AgreementGroup::Options AgreementGroup::Options::withNextIncarnation(IncarnationId value) const
{
    Options copy = *this;
    copy.group.nextIncarnation = value;
    return copy;
}

AgreementGroup::Options AgreementGroup::Options::withEntriesBetweenSnapshots(std::uint64_t value) const
{
    Options copy = *this;
    copy.group.entriesBetweenSnapshots = value;
    return copy;
}

//==============================================================================
AgreementGroup::AgreementGroup(KeeperId id, std::unique_ptr<KeeperDisk> disk, Options options, const Clock& clock, AgreementGroupHooks hooks)
    : m_options(options)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_state(options.state)
    , m_group(id, std::move(disk), options.group, clock, *this, { m_hooks.send, [this] { offerDocument(); }, m_hooks.fail })
{
}

AgreementGroup::~AgreementGroup()
{
    stop();
}

Result<void, AgreementErrorCode> AgreementGroup::start()
{
    if (auto started = m_group.start(); !started)
        return started;
    DocumentPointer document;
    {
        std::lock_guard guard(m_stateLock);
        document = m_state.document();
    }
    m_hooks.documentChanged(std::move(document));
    return {};
}

//==============================================================================
void AgreementGroup::propose(Command command, Reply reply)
{
    command.time = m_clock.wallTime();
    m_group.propose(encodeCommand(command), forwardTo(std::move(reply)));
}

void AgreementGroup::readRun(IdempotencyKey key, Reply reply)
{
    auto read = [this, key = std::move(key)] {
        std::lock_guard guard(m_stateLock);
        return encodeAnswer(m_state.run(key));
    };
    m_group.read(std::move(read), forwardTo(std::move(reply)));
}

SystemStatus AgreementGroup::status() const
{
    GroupStatus group = m_group.status();
    SystemStatus status;
    status.self = group.self.keeper;
    if (group.leader)
        status.leader = group.leader->keeper;
    status.term = group.term;
    status.committed = group.committed;
    for (const ReplicaId& id : group.membership.voters)
        status.keepers.push_back({ id.keeper, id.incarnation, true, group.matched[id] });
    for (const ReplicaId& id : group.membership.learners)
        status.keepers.push_back({ id.keeper, id.incarnation, false, group.matched[id] });
    std::lock_guard guard(m_stateLock);
    status.version = m_state.document()->version;
    for (const auto& [name, spec] : m_state.document()->dataCentres)
        status.terms[name] = m_state.term(name);
    return status;
}

//==============================================================================
Result<void, AgreementErrorCode> AgreementGroup::restore(std::string_view snapshot)
{
    auto state = StateMachine::restore(snapshot, m_options.state);
    if (!state)
        return failureBecause(AgreementErrorCode::StateUnusable, state.error());
    std::lock_guard guard(m_stateLock);
    m_state = std::move(*state);
    return {};
}

ByteString AgreementGroup::snapshot() const
{
    std::lock_guard guard(m_stateLock);
    return m_state.snapshot();
}

Result<ByteString, AgreementErrorCode> AgreementGroup::apply(const LogEntry& entry)
{
    auto command = decodeCommand(entry.payload);
    if (!command)
        return failureBecause(AgreementErrorCode::Malformed, command.error());
    std::lock_guard guard(m_stateLock);
    return encodeAnswer(m_state.apply(entry.index, *command));
}

void AgreementGroup::offerDocument()
{
    DocumentPointer document;
    {
        std::lock_guard guard(m_stateLock);
        if (m_state.document()->version <= m_offeredVersion)
            return;
        document = m_state.document();
    }
    m_offeredVersion = document->version;
    m_hooks.documentChanged(std::move(document));
}

} // namespace hemlockchute
