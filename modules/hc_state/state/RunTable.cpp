#include "state/RunTable.h"

#include <algorithm>

namespace hemlockchute {
namespace {

using State = RunAnswer::State;

/** How long a voided attempt is remembered, and thereby kept from claiming. */
constexpr Duration voidRetention = 24h;

std::chrono::milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Duration::zero()));
}

WallTime later(WallTime now, Duration duration)
{
    return now + inMilliseconds(duration);
}

RunAnswer onlyState(State state)
{
    RunAnswer answer;
    answer.state = state;
    return answer;
}

bool isHeldBy(const RunTable::Record& record, const AttemptId& attempt)
{
    return record.claim && record.claim->attempt == attempt;
}

} // namespace

RunTable::RunTable(std::size_t maximumBodyBytes)
    : m_maximumBodyBytes(maximumBodyBytes)
{
}

void RunTable::removeExpired(WallTime now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        IdempotencyKey key = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        expire(key, now);
    }
}

void RunTable::expire(const IdempotencyKey& key, WallTime now)
{
    auto found = m_records.find(key);
    if (found == m_records.end())
        return;
    Record& record = found->second;
    if (record.claim && record.claim->expiry <= now)
        record.claim.reset();
    std::erase_if(record.voided, [now](const auto& entry) { return entry.second <= now; });
    if (!record.claim && record.voided.empty())
        m_records.erase(found);
}

//==============================================================================
RunAnswer RunTable::claim(const ClaimRun& command, WallTime now)
{
    Record& record = m_records[command.key];
    if (record.voided.contains(command.attempt))
        return onlyState(State::Void);
    if (!record.claim) {
        RunAnswer inProgress = onlyState(State::InProgress);
        record.claim = Claim { command.attempt, command.service, command.request, inMilliseconds(command.retention), later(now, command.outcomeTimeout), {}, inProgress };
        // A record that expired while its run could still be in progress would let the key run twice.
        extendRetention(command.key, *record.claim, now, command.outcomeTimeout);
        return onlyState(State::Claimed);
    }
    if (record.claim->request != command.request || record.claim->service != command.service)
        return onlyState(State::KeyConflict);
    RunAnswer current = answer(record, now);
    bool isResend = record.claim->attempt == command.attempt && current.state == State::InProgress;
    return isResend ? onlyState(State::Claimed) : current;
}

RunAnswer RunTable::recordOutcome(const RecordOutcome& command, WallTime now)
{
    Record* record = findRecord(command.key, command.attempt);
    if (!record)
        return {};
    if (!isHeldBy(*record, command.attempt) || record->claim->answer.state == State::Done)
        return answer(*record, now);
    RunAnswer& outcome = record->claim->answer;
    outcome.state = State::Done;
    outcome.status = command.status;
    outcome.contentType = command.contentType;
    outcome.bodyTooLong = command.bodyTooLong || command.body.size() > m_maximumBodyBytes;
    outcome.body = outcome.bodyTooLong ? ByteString() : command.body;
    extendRetention(command.key, *record->claim, now, Duration::zero());
    return outcome;
}

RunAnswer RunTable::voidAttempt(const VoidRun& command, WallTime now)
{
    Record& record = m_records[command.key];
    if (isHeldBy(record, command.attempt)) {
        if (record.claim->answer.state != State::InProgress)
            return answer(record, now);
        record.claim.reset();
    }
    WallTime expiry = later(now, voidRetention);
    record.voided[command.attempt] = expiry;
    m_deadlines.emplace(expiry, command.key);
    return onlyState(State::Void);
}

RunAnswer RunTable::abandon(const AbandonRun& command, WallTime now)
{
    Record* record = findRecord(command.key, command.attempt);
    if (!record)
        return {};
    if (isHeldBy(*record, command.attempt) && record->claim->answer.state == State::InProgress) {
        record->claim->answer.state = State::OutcomeUnknown;
        extendRetention(command.key, *record->claim, now, Duration::zero());
    }
    return answer(*record, now);
}

RunAnswer RunTable::read(const IdempotencyKey& key, WallTime now) const
{
    auto found = m_records.find(key);
    return found == m_records.end() ? RunAnswer() : answer(found->second, now);
}

//==============================================================================
RunTable::Record* RunTable::findRecord(const IdempotencyKey& key, const AttemptId& attempt)
{
    auto found = m_records.find(key);
    if (found == m_records.end())
        return nullptr;
    // A record that holds only the voids of other attempts says nothing about this one.
    bool isKnown = found->second.claim || found->second.voided.contains(attempt);
    return isKnown ? &found->second : nullptr;
}

RunAnswer RunTable::answer(const Record& record, WallTime now) const
{
    if (!record.claim)
        return onlyState(State::Void);
    const Claim& claim = *record.claim;
    bool isOverdue = claim.answer.state == State::InProgress && claim.outcomeDeadline <= now;
    return isOverdue ? onlyState(State::OutcomeUnknown) : claim.answer;
}

void RunTable::extendRetention(const IdempotencyKey& key, Claim& claim, WallTime now, Duration atLeast)
{
    WallTime expiry = later(now, std::max(Duration(claim.retention), atLeast));
    claim.expiry = std::max(claim.expiry, expiry);
    m_deadlines.emplace(claim.expiry, key);
}

void RunTable::restore(std::map<IdempotencyKey, Record> records)
{
    m_records = std::move(records);
    m_deadlines.clear();
    for (const auto& [key, record] : m_records) {
        if (record.claim)
            m_deadlines.emplace(record.claim->expiry, key);
        for (const auto& [attempt, expiry] : record.voided)
            m_deadlines.emplace(expiry, key);
    }
}

} // namespace hemlockchute
