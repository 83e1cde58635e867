#include "hemlockchute/state/CommandCodec.h"

#include "state/SchemaFields.h"

#include <optional>

namespace hemlockchute {
namespace {

using namespace schema;
using BodyBuilder = state_schema::Command::Body::Builder;

template <typename Builder>
void writeEligibleHosts(Builder builder, const std::vector<HostName>& hosts)
{
    auto list = builder.initSeekers(static_cast<unsigned>(hosts.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        list.set(i, textOf(hosts[i]));
}

std::vector<HostName> readEligibleHosts(capnp::List<capnp::Text>::Reader list)
{
    std::vector<HostName> hosts;
    for (auto host : list)
        hosts.push_back(asName<HostName>(host));
    return hosts;
}

//==============================================================================
void writeBody(BodyBuilder body, const SubmitDocument& command)
{
    auto builder = body.initSubmitDocument();
    builder.setSubmitId(textOf(command.submitId));
    write(builder.initSubmitter(), command.submitter);
    builder.setBase(command.base.value());
    builder.setText(textOf(command.text));
}

void writeBody(BodyBuilder body, const AcquireTerm& command)
{
    auto builder = body.initAcquireTerm();
    builder.setDataCentre(textOf(command.dataCentre));
    builder.setHost(textOf(command.host));
    builder.setAttempt(textOf(command.attempt));
    writeEligibleHosts(builder, command.eligibleHosts);
}

void writeBody(BodyBuilder body, const RenewTerm& command)
{
    auto builder = body.initRenewTerm();
    builder.setDataCentre(textOf(command.dataCentre));
    builder.setHost(textOf(command.host));
    builder.setFencing(command.fencing.value());
    writeEligibleHosts(builder, command.eligibleHosts);
}

void writeBody(BodyBuilder body, const ReleaseTerm& command)
{
    auto builder = body.initReleaseTerm();
    builder.setDataCentre(textOf(command.dataCentre));
    builder.setHost(textOf(command.host));
    builder.setFencing(command.fencing.value());
}

template <typename Permits>
void writePermits(state_schema::ChangePermits::Builder builder, const Permits& command, unsigned count)
{
    builder.setDataCentre(textOf(command.dataCentre));
    builder.setFencing(command.fencing.value());
    builder.setModel(textOf(command.model));
    builder.setCount(count);
    builder.setSequence(command.sequence);
}

void writeBody(BodyBuilder body, const RequestPermits& command) { writePermits(body.initRequestPermits(), command, command.wanted); }
void writeBody(BodyBuilder body, const ReturnPermits& command) { writePermits(body.initReturnPermits(), command, command.held); }

void writeBody(BodyBuilder body, const ClaimRun& command)
{
    auto builder = body.initClaimRun();
    builder.setKey(textOf(command.key));
    builder.setAttempt(textOf(command.attempt));
    builder.setService(textOf(command.service));
    write(builder.initRequest(), command.request);
    builder.setRetentionNanoseconds(command.retention.count());
    builder.setLongestRunNanoseconds(command.outcomeTimeout.count());
}

void writeBody(BodyBuilder body, const RecordOutcome& command)
{
    auto builder = body.initRecordOutcome();
    builder.setKey(textOf(command.key));
    builder.setAttempt(textOf(command.attempt));
    builder.setStatus(command.status);
    builder.setContentType(textOf(command.contentType));
    builder.setBody(dataOf(command.body));
    builder.setBodyTooLong(command.bodyTooLong);
}

template <typename Attempt>
void writeAttempt(state_schema::RunAttempt::Builder builder, const Attempt& command)
{
    builder.setKey(textOf(command.key));
    builder.setAttempt(textOf(command.attempt));
}

void writeBody(BodyBuilder body, const VoidRun& command) { writeAttempt(body.initVoidRun(), command); }
void writeBody(BodyBuilder body, const AbandonRun& command) { writeAttempt(body.initAbandonRun(), command); }

//==============================================================================
CommandBody readBody(state_schema::SubmitDocument::Reader reader)
{
    return SubmitDocument { asName<SubmitId>(reader.getSubmitId()), read(reader.getSubmitter()), DocumentVersion(reader.getBase()), asString(reader.getText()) };
}

CommandBody readBody(state_schema::AcquireTerm::Reader reader)
{
    return AcquireTerm { asName<DataCentreName>(reader.getDataCentre()), asName<HostName>(reader.getHost()), asString(reader.getAttempt()), readEligibleHosts(reader.getSeekers()) };
}

CommandBody readBody(state_schema::RenewTerm::Reader reader)
{
    return RenewTerm { asName<DataCentreName>(reader.getDataCentre()), asName<HostName>(reader.getHost()), FencingNumber(reader.getFencing()), readEligibleHosts(reader.getSeekers()) };
}

CommandBody readBody(state_schema::ReleaseTerm::Reader reader)
{
    return ReleaseTerm { asName<DataCentreName>(reader.getDataCentre()), asName<HostName>(reader.getHost()), FencingNumber(reader.getFencing()) };
}

template <typename Permits>
CommandBody readPermits(state_schema::ChangePermits::Reader reader)
{
    return Permits { asName<DataCentreName>(reader.getDataCentre()), FencingNumber(reader.getFencing()), asName<ModelName>(reader.getModel()), reader.getCount(), reader.getSequence() };
}

CommandBody readBody(state_schema::ClaimRun::Reader reader)
{
    return ClaimRun { asName<IdempotencyKey>(reader.getKey()), asName<AttemptId>(reader.getAttempt()), asName<ServiceName>(reader.getService()), read(reader.getRequest()), Duration(reader.getRetentionNanoseconds()), Duration(reader.getLongestRunNanoseconds()) };
}

CommandBody readBody(state_schema::RecordOutcome::Reader reader)
{
    return RecordOutcome { asName<IdempotencyKey>(reader.getKey()), asName<AttemptId>(reader.getAttempt()), reader.getStatus(), asString(reader.getContentType()), asBytes(reader.getBody()), reader.getBodyTooLong() };
}

template <typename Attempt>
CommandBody readAttempt(state_schema::RunAttempt::Reader reader)
{
    return Attempt { asName<IdempotencyKey>(reader.getKey()), asName<AttemptId>(reader.getAttempt()) };
}

std::optional<CommandBody> readBody(state_schema::Command::Body::Reader body)
{
    using Body = state_schema::Command::Body;
    switch (body.which()) {
    case Body::SUBMIT_DOCUMENT:
        return readBody(body.getSubmitDocument());
    case Body::ACQUIRE_TERM:
        return readBody(body.getAcquireTerm());
    case Body::RENEW_TERM:
        return readBody(body.getRenewTerm());
    case Body::RELEASE_TERM:
        return readBody(body.getReleaseTerm());
    case Body::REQUEST_PERMITS:
        return readPermits<RequestPermits>(body.getRequestPermits());
    case Body::RETURN_PERMITS:
        return readPermits<ReturnPermits>(body.getReturnPermits());
    case Body::CLAIM_RUN:
        return readBody(body.getClaimRun());
    case Body::RECORD_OUTCOME:
        return readBody(body.getRecordOutcome());
    case Body::VOID_RUN:
        return readAttempt<VoidRun>(body.getVoidRun());
    case Body::ABANDON_RUN:
        return readAttempt<AbandonRun>(body.getAbandonRun());
    }
    return {};
}

//==============================================================================
void writeAnswer(state_schema::Answer::Builder builder, const SubmitAnswer& answer) { write(builder.initSubmit(), answer); }
void writeAnswer(state_schema::Answer::Builder builder, const RunAnswer& answer) { write(builder.initRun(), answer); }

void writeAnswer(state_schema::Answer::Builder builder, const TermAnswer& answer)
{
    auto term = builder.initTerm();
    term.setGranted(answer.granted);
    term.setFencing(answer.fencing.value());
    term.setHolder(textOf(answer.holder));
    term.setLeaseNanoseconds(answer.lease.count());
    term.setWaitNanoseconds(answer.wait.count());
}

void writeAnswer(state_schema::Answer::Builder builder, const PermitAnswer& answer)
{
    auto permit = builder.initPermit();
    permit.setAccepted(answer.accepted);
    permit.setHeld(answer.held);
    permit.setAllowed(answer.allowed);
}

TermAnswer readTerm(state_schema::TermAnswer::Reader reader)
{
    return { reader.getGranted(), FencingNumber(reader.getFencing()), asName<HostName>(reader.getHolder()), Duration(reader.getLeaseNanoseconds()), Duration(reader.getWaitNanoseconds()) };
}

std::optional<Answer> readAnswer(state_schema::Answer::Reader reader)
{
    switch (reader.which()) {
    case state_schema::Answer::SUBMIT: {
        SubmitAnswer answer = read(reader.getSubmit());
        return answer.verdict <= SubmitAnswer::Verdict::Forbidden ? std::optional<Answer>(std::move(answer)) : std::nullopt;
    }
    case state_schema::Answer::TERM:
        return readTerm(reader.getTerm());
    case state_schema::Answer::PERMIT:
        return PermitAnswer { reader.getPermit().getAccepted(), reader.getPermit().getHeld(), reader.getPermit().getAllowed() };
    case state_schema::Answer::RUN: {
        RunAnswer answer = read(reader.getRun());
        return answer.state <= RunAnswer::State::None ? std::optional<Answer>(std::move(answer)) : std::nullopt;
    }
    }
    return {};
}

} // namespace

ByteString encodeCommand(const Command& command)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<state_schema::Command>();
    builder.setTimeMilliseconds(millisecondsOf(command.time));
    std::visit([&](const auto& body) { writeBody(builder.initBody(), body); }, command.body);
    return serialised(message);
}

Result<Command, StateErrorCode> decodeCommand(std::string_view bytes)
{
    return parsed<Command>(bytes, [](capnp::MessageReader& message) -> Result<Command, StateErrorCode> {
        auto reader = message.getRoot<state_schema::Command>();
        auto body = readBody(reader.getBody());
        if (!body)
            return failure(StateErrorCode::VersionTooNew, "the command is of a kind that this version does not know");
        return Command { asWallTime(reader.getTimeMilliseconds()), std::move(*body) };
    });
}

ByteString encodeAnswer(const Answer& answer)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<state_schema::Answer>();
    std::visit([&](const auto& kind) { writeAnswer(builder, kind); }, answer);
    return serialised(message);
}

Result<Answer, StateErrorCode> decodeAnswer(std::string_view bytes)
{
    return parsed<Answer>(bytes, [](capnp::MessageReader& message) -> Result<Answer, StateErrorCode> {
        auto answer = readAnswer(message.getRoot<state_schema::Answer>());
        if (!answer)
            return failure(StateErrorCode::VersionTooNew, "the answer is of a kind that this version does not know");
        return std::move(*answer);
    });
}

} // namespace hemlockchute
