#include "state/SchemaFields.h"

namespace hemlockchute::schema {

void write(state_schema::SubmitAnswer::Builder builder, const SubmitAnswer& answer)
{
    builder.setVerdict(static_cast<std::uint16_t>(answer.verdict));
    builder.setVersion(answer.version.value());
    auto faults = builder.initFaults(static_cast<unsigned>(answer.faults.size()));
    for (unsigned i = 0; i < faults.size(); ++i) {
        faults[i].setLine(answer.faults[i].line);
        faults[i].setTeam(textOf(answer.faults[i].team));
        faults[i].setWhat(textOf(answer.faults[i].message));
    }
}

SubmitAnswer read(state_schema::SubmitAnswer::Reader reader)
{
    SubmitAnswer answer;
    answer.verdict = static_cast<SubmitAnswer::Verdict>(reader.getVerdict());
    answer.version = DocumentVersion(reader.getVersion());
    for (auto fault : reader.getFaults())
        answer.faults.push_back({ fault.getLine(), asName<TeamName>(fault.getTeam()), asString(fault.getWhat()) });
    return answer;
}

void write(state_schema::RunAnswer::Builder builder, const RunAnswer& answer)
{
    builder.setState(static_cast<std::uint16_t>(answer.state));
    builder.setStatus(answer.status);
    builder.setContentType(textOf(answer.contentType));
    builder.setBody(dataOf(answer.body));
    builder.setBodyTooLong(answer.bodyTooLong);
}

RunAnswer read(state_schema::RunAnswer::Reader reader)
{
    RunAnswer answer;
    answer.state = static_cast<RunAnswer::State>(reader.getState());
    answer.status = reader.getStatus();
    answer.contentType = asString(reader.getContentType());
    answer.body = asBytes(reader.getBody());
    answer.bodyTooLong = reader.getBodyTooLong();
    return answer;
}

ByteString serialised(capnp::MessageBuilder& message)
{
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

} // namespace hemlockchute::schema
