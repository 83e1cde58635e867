#include "state/SchemaFields.h"
#include "state/Snapshot.capnp.h"
#include "state/StateParts.h"

namespace hemlockchute {
namespace {

using namespace schema;

constexpr std::uint32_t snapshotFormat = 1;

void writeDocument(state_schema::Snapshot::Builder builder, const DocumentState& state)
{
    builder.setDocumentVersion(state.current()->version.value());
    builder.setDocumentText(textOf(documentText(state.current()->sections)));
    auto list = builder.initSubmissions(static_cast<unsigned>(state.submissions().size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        const DocumentState::Submission& submission = state.submissions()[i];
        list[i].setId(textOf(submission.id));
        write(list[i].initSubmitter(), submission.submitter);
        write(list[i].initDigest(), submission.digest);
        write(list[i].initAnswer(), submission.answer);
    }
}

void writeTerms(state_schema::Snapshot::Builder builder, const TermTable& table)
{
    auto list = builder.initTerms(static_cast<unsigned>(table.terms().size()));
    unsigned i = 0;
    for (const auto& [dataCentre, term] : table.terms()) {
        auto record = list[i++];
        record.setDataCentre(textOf(dataCentre));
        record.setFencing(term.fencing.value());
        record.setHolder(textOf(term.holder));
        record.setLeaseEndMilliseconds(millisecondsOf(term.leaseEnd));
        auto eligibleHosts = record.initSeekers(static_cast<unsigned>(term.eligibleHosts.size()));
        unsigned at = 0;
        for (const HostName& host : term.eligibleHosts)
            eligibleHosts.set(at++, textOf(host));
        auto attempts = record.initGrantedAttempts(static_cast<unsigned>(term.grantedAttempts.size()));
        for (at = 0; at < attempts.size(); ++at)
            attempts.set(at, textOf(term.grantedAttempts[at]));
    }
}

void writePermits(state_schema::Snapshot::Builder builder, const PermitTable& table)
{
    std::size_t count = 0;
    for (const auto& [model, holdings] : table.holdings())
        count += holdings.size();
    auto list = builder.initPermits(static_cast<unsigned>(count));
    unsigned i = 0;
    for (const auto& [model, holdings] : table.holdings()) {
        for (const auto& [dataCentre, holding] : holdings) {
            auto record = list[i++];
            record.setModel(textOf(model));
            record.setDataCentre(textOf(dataCentre));
            record.setHeld(holding.held);
            record.setFencing(holding.fencing.value());
            record.setSequence(holding.sequence);
        }
    }
}

void writeClaim(state_schema::RunRecord::Builder builder, const RunTable::Claim& claim)
{
    builder.setHasClaim(true);
    builder.setAttempt(textOf(claim.attempt));
    builder.setService(textOf(claim.service));
    write(builder.initRequest(), claim.request);
    builder.setRetentionMilliseconds(claim.retention.count());
    builder.setOverdueMilliseconds(millisecondsOf(claim.outcomeDeadline));
    builder.setExpiryMilliseconds(millisecondsOf(claim.expiry));
    write(builder.initAnswer(), claim.answer);
}

void writeRuns(state_schema::Snapshot::Builder builder, const RunTable& table)
{
    auto list = builder.initRuns(static_cast<unsigned>(table.records().size()));
    unsigned i = 0;
    for (const auto& [key, record] : table.records()) {
        auto run = list[i++];
        run.setKey(textOf(key));
        if (record.claim)
            writeClaim(run, *record.claim);
        auto voided = run.initVoided(static_cast<unsigned>(record.voided.size()));
        unsigned at = 0;
        for (const auto& [attempt, expiry] : record.voided) {
            voided[at].setAttempt(textOf(attempt));
            voided[at++].setExpiryMilliseconds(millisecondsOf(expiry));
        }
    }
}

//==============================================================================
Result<void, StateErrorCode> readDocument(state_schema::Snapshot::Reader reader, DocumentState& state)
{
    auto document = parseDocument(asString(reader.getDocumentText()), DocumentVersion(reader.getDocumentVersion()));
    if (!document)
        return failure(StateErrorCode::Malformed, "the snapshot's document is invalid: " + document.error().front().text());
    std::deque<DocumentState::Submission> submissions;
    for (auto submission : reader.getSubmissions())
        submissions.push_back({ asName<SubmitId>(submission.getId()), read(submission.getSubmitter()), read(submission.getDigest()), read(submission.getAnswer()) });
    state.restore(std::make_shared<Document>(std::move(*document)), std::move(submissions));
    return {};
}

void readTerms(state_schema::Snapshot::Reader reader, TermTable& table)
{
    std::map<DataCentreName, TermTable::Term> terms;
    for (auto record : reader.getTerms()) {
        TermTable::Term& term = terms[asName<DataCentreName>(record.getDataCentre())];
        term.fencing = FencingNumber(record.getFencing());
        term.holder = asName<HostName>(record.getHolder());
        term.leaseEnd = asWallTime(record.getLeaseEndMilliseconds());
        for (auto host : record.getSeekers())
            term.eligibleHosts.insert(asName<HostName>(host));
        for (auto attempt : record.getGrantedAttempts())
            term.grantedAttempts.push_back(asString(attempt));
    }
    table.restore(std::move(terms));
}

void readPermits(state_schema::Snapshot::Reader reader, PermitTable& table)
{
    std::map<ModelName, PermitTable::Holdings> holdings;
    for (auto record : reader.getPermits()) {
        PermitTable::Holding holding { record.getHeld(), FencingNumber(record.getFencing()), record.getSequence() };
        holdings[asName<ModelName>(record.getModel())][asName<DataCentreName>(record.getDataCentre())] = holding;
    }
    table.restore(std::move(holdings));
}

RunTable::Claim readClaim(state_schema::RunRecord::Reader reader)
{
    RunTable::Claim claim;
    claim.attempt = asName<AttemptId>(reader.getAttempt());
    claim.service = asName<ServiceName>(reader.getService());
    claim.request = read(reader.getRequest());
    claim.retention = std::chrono::milliseconds(reader.getRetentionMilliseconds());
    claim.outcomeDeadline = asWallTime(reader.getOverdueMilliseconds());
    claim.expiry = asWallTime(reader.getExpiryMilliseconds());
    claim.answer = read(reader.getAnswer());
    return claim;
}

void readRuns(state_schema::Snapshot::Reader reader, RunTable& table)
{
    std::map<IdempotencyKey, RunTable::Record> records;
    for (auto run : reader.getRuns()) {
        RunTable::Record& record = records[asName<IdempotencyKey>(run.getKey())];
        if (run.getHasClaim())
            record.claim = readClaim(run);
        for (auto voided : run.getVoided())
            record.voided[asName<AttemptId>(voided.getAttempt())] = asWallTime(voided.getExpiryMilliseconds());
    }
    table.restore(std::move(records));
}

} // namespace

ByteString encodeSnapshot(const StateParts& parts)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<state_schema::Snapshot>();
    builder.setFormat(snapshotFormat);
    builder.setLastApplied(parts.lastApplied.value());
    builder.setTimeMilliseconds(millisecondsOf(parts.time));
    writeDocument(builder, parts.document);
    writeTerms(builder, parts.terms);
    writePermits(builder, parts.permits);
    writeRuns(builder, parts.runs);
    return serialised(message);
}

Result<void, StateErrorCode> decodeSnapshot(std::string_view bytes, StateParts& parts)
{
    return parsed<void>(bytes, [&](capnp::MessageReader& message) -> Result<void, StateErrorCode> {
        auto reader = message.getRoot<state_schema::Snapshot>();
        if (reader.getFormat() == 0)
            return failure(StateErrorCode::Malformed, "the bytes are not a snapshot: format 0");
        if (reader.getFormat() > snapshotFormat)
            return failure(StateErrorCode::VersionTooNew, "the snapshot's format is newer than the latest that this version reads");
        parts.lastApplied = LogIndex(reader.getLastApplied());
        parts.time = asWallTime(reader.getTimeMilliseconds());
        readTerms(reader, parts.terms);
        readPermits(reader, parts.permits);
        readRuns(reader, parts.runs);
        return readDocument(reader, parts.document);
    });
}

} // namespace hemlockchute
