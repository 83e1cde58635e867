#include "keeper/OperatorMessages.h"

#include <algorithm>
#include <boost/json.hpp>
#include <openssl/evp.h>

namespace hemlockchute {
namespace {

namespace json = boost::json;

constexpr std::string_view verdictNames[] = { "accepted", "conflict", "rejected", "forbidden" };
constexpr std::string_view runStateNames[] = { "claimed", "in-progress", "done", "outcome-unknown", "void", "key-conflict", "none" };

json::object inForceObject(const InForceReport& report)
{
    json::object object;
    for (const auto& [dataCentre, isInForce] : report)
        object[dataCentre.text()] = isInForce;
    return object;
}

json::array faultArray(const DocumentFaults& faults)
{
    json::array array;
    for (const DocumentFault& fault : faults)
        array.push_back(json::object { { "line", fault.line }, { "team", fault.team.text() }, { "what", fault.message } });
    return array;
}

std::string base64(const ByteString& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

bool isUtf8(const ByteString& bytes)
{
    boost::system::error_code error;
    json::parse(json::serialize(json::value(bytes)), error);
    return !error;
}

json::array keeperArray(const SystemStatus& status)
{
    json::array array;
    for (const KeeperStatus& keeper : status.keepers)
        array.push_back(json::object { { "id", keeper.id.value() }, { "incarnation", keeper.incarnation.value() }, { "voter", keeper.isVoter }, { "matched", keeper.matched.value() } });
    return array;
}

json::array hostArray(const SystemStatus& status, const std::vector<EntryHostAddress>& hosts)
{
    json::array array;
    for (const EntryHostAddress& host : hosts) {
        json::object object { { "name", host.name.text() }, { "data_centre", host.dataCentre.text() } };
        auto found = status.inForce.find(host.name);
        object["version"] = found == status.inForce.end() ? json::value() : json::value(found->second.value());
        array.push_back(std::move(object));
    }
    return array;
}

json::array dataCentreArray(const SystemStatus& status, const std::vector<EntryHostAddress>& hosts)
{
    json::array array;
    for (const auto& [dataCentre, isInForce] : inForceReport(status, hosts, status.version)) {
        auto found = status.terms.find(dataCentre);
        TermAnswer term = found == status.terms.end() ? TermAnswer() : found->second;
        array.push_back(json::object { { "name", dataCentre.text() }, { "in_force", isInForce }, { "leader", term.holder.text() }, { "fencing", term.fencing.value() } });
    }
    return array;
}

std::string textField(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

} // namespace

InForceReport inForceReport(const SystemStatus& status, const std::vector<EntryHostAddress>& hosts, DocumentVersion version)
{
    std::map<DataCentreName, unsigned> reporting;
    std::map<DataCentreName, unsigned> current;
    for (const EntryHostAddress& host : hosts) {
        auto found = status.inForce.find(host.name);
        reporting[host.dataCentre] += found != status.inForce.end() ? 1 : 0;
        current[host.dataCentre] += found != status.inForce.end() && found->second >= version ? 1 : 0;
    }
    InForceReport report;
    for (const auto& [dataCentre, count] : reporting)
        report[dataCentre] = count > 0 && current[dataCentre] == count;
    return report;
}

tl::expected<MemberChange, std::string> parseMemberChange(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    const json::object* object = error ? nullptr : value.if_object();
    if (!object)
        return tl::unexpected<std::string>("the body must be a JSON object");
    std::string action = textField(*object, "action");
    if (action != "add" && action != "remove" && action != "replace")
        return tl::unexpected<std::string>("action must be \"add\", \"remove\" or \"replace\"");
    const json::value* keeper = object->if_contains("keeper");
    if (!keeper || !keeper->is_int64() || keeper->as_int64() < 1)
        return tl::unexpected<std::string>("keeper must be a whole number above zero");
    KeeperId id(static_cast<std::uint64_t>(keeper->as_int64()));

    MemberChange change;
    if (action != "add")
        change.remove = id;
    if (action == "remove")
        return change;
    auto peer = parseEndpoint(textField(*object, "peer"));
    if (!peer)
        return tl::unexpected<std::string>("peer must be an IP number and port such as \"127.0.0.1:7103\"");
    change.add = KeeperAddress { id, HostName(textField(*object, "host")), DataCentreName(textField(*object, "data_centre")), *peer };
    return change;
}

//==============================================================================
std::string submitAnswerJson(const SubmitAnswer& answer, const InForceReport& report)
{
    json::object object { { "verdict", verdictNames[static_cast<std::size_t>(answer.verdict)] }, { "version", answer.version.value() } };
    if (answer.verdict == SubmitAnswer::Verdict::Accepted)
        object["in_force"] = inForceObject(report);
    if (!answer.faults.empty())
        object["faults"] = faultArray(answer.faults);
    return json::serialize(object);
}

std::string statusJson(const SystemStatus& status, const std::vector<EntryHostAddress>& hosts)
{
    json::object object;
    object["keeper"] = status.self.value();
    object["leader"] = status.leader ? json::value(status.leader->value()) : json::value();
    object["term"] = status.term.value();
    object["committed"] = status.committed.value();
    object["version"] = status.version.value();
    object["keepers"] = keeperArray(status);
    object["hosts"] = hostArray(status, hosts);
    object["data_centres"] = dataCentreArray(status, hosts);
    return json::serialize(object);
}

std::string runJson(const IdempotencyKey& key, const RunAnswer& run)
{
    json::object object { { "key", key.text() }, { "state", runStateNames[static_cast<std::size_t>(run.state)] } };
    if (run.state == RunAnswer::State::Done) {
        object["status"] = run.status;
        object["content_type"] = run.contentType;
        object["body_too_long"] = run.bodyTooLong;
        if (isUtf8(run.body))
            object["body"] = run.body;
        else
            object["body_base64"] = base64(run.body);
    }
    return json::serialize(object);
}

std::string problemJson(unsigned status, std::string_view title, std::string_view detail)
{
    return json::serialize(json::object { { "type", "about:blank" }, { "title", title }, { "status", status }, { "detail", detail } });
}

} // namespace hemlockchute
