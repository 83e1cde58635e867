#include "document/SectionReader.h"

#include <algorithm>

namespace hemlockchute {
namespace {

constexpr unsigned maximumPerMille = 1000;
constexpr unsigned maximumReplicas = 1000;
constexpr unsigned maximumRankOrder = 1000;
constexpr unsigned maximumWorth = 1'000'000;
constexpr unsigned maximumStoreLoadsPerSecondPerMille = 10'000'000;
constexpr unsigned maximumStoreLoadsAtOnce = 10'000;
constexpr unsigned maximumAdaptersInFlight = 100'000;
constexpr std::string_view limitsKey = "limits";

std::string inQuotes(const std::string& text)
{
    return "\"" + text + "\"";
}

} // namespace

const SectionReader::Kind SectionReader::kinds[] = {
    { "ranks", "rank", &SectionReader::readRank },
    { "models", "model", &SectionReader::readModel },
    { "adapters", "adapter", &SectionReader::readAdapter },
    { "services", "service", &SectionReader::readService },
    { "data_centres", "data centre", &SectionReader::readDataCentre },
    { "drains", "drain", &SectionReader::readDrain },
};

SectionReader::SectionReader(Document& document, DocumentFaults& faults)
    : m_document(document)
    , m_faults(faults)
{
}

void SectionReader::read(const TeamName& team, const SectionText& text)
{
    SectionContext context { team, text, m_faults };
    if (!isValidName(team.text()))
        context.addFault(text.documentLine(1), "the team's name must have 1 to 100 characters of a-z A-Z 0-9 . _ -");
    try {
        toml::table root = toml::parse(text.text);
        if (const toml::table* section = root["team"][team.text()].as_table())
            readTable(context, *section);
        else
            context.addFault(text.documentLine(1), "must be a table");
    } catch (const toml::parse_error& error) {
        context.addFault(text.documentLine(error.source().begin.line), std::string(error.description()));
    }
}

void SectionReader::readTable(const SectionContext& context, const toml::table& section)
{
    for (const Kind& kind : kinds)
        readKind(context, section, kind);
    for (const auto& [key, node] : section) {
        if (key.str() == limitsKey) {
            readLimits(context, node);
            continue;
        }
        std::string_view name = key.str();
        bool isKnown = std::any_of(std::begin(kinds), std::end(kinds), [name](const Kind& kind) { return kind.key == name; });
        if (!isKnown)
            context.addFault(context.lineOf(node), std::string(name) + ": is not a known key");
    }
}

void SectionReader::readKind(const SectionContext& context, const toml::table& section, const Kind& kind)
{
    const toml::node* node = section.get(kind.key);
    if (!node)
        return;
    const toml::array* entries = node->as_array();
    if (!entries) {
        context.addFault(context.lineOf(*node), std::string(kind.key) + ": must be an array of tables");
        return;
    }
    for (const toml::node& entry : *entries) {
        const toml::table* table = entry.as_table();
        if (!table) {
            context.addFault(context.lineOf(entry), std::string(kind.key) + ": must hold tables only");
            continue;
        }
        EntryReader reader(context, *table, std::string(kind.singular));
        (this->*kind.read)(reader, context.team);
        reader.finish();
    }
}

template <typename Name, typename Spec>
bool SectionReader::insert(EntryReader& reader, std::string_view key, std::map<Name, Spec>& entries, const Name& name, Spec spec)
{
    if (name.isEmpty())
        return false;
    auto [found, isNew] = entries.emplace(name, std::move(spec));
    if (!isNew)
        reader.addFault(key, inQuotes(name.text()) + " stands already in the section of team " + found->second.team.text());
    return isNew;
}

//==============================================================================
void SectionReader::readRank(EntryReader& reader, const TeamName& team)
{
    RankSpec rank;
    rank.name = RankName(reader.name("name"));
    rank.team = team;
    unsigned order = maximumRankOrder + 1;
    reader.number("order", order, 0, maximumRankOrder);
    reader.number("floor_per_mille", rank.floorPerMille, 0, maximumPerMille);
    reader.duration("first_token_target", rank.firstTokenTarget);
    reader.duration("between_tokens_target", rank.betweenTokensTarget);
    reader.duration("longest_wait", rank.longestWait);
    reader.number("objective_per_mille", rank.objectivePerMille, 1, maximumPerMille);
    reader.number("worth", rank.worth, 1, maximumWorth);
    rank.order = order;
    checkRank(reader, rank);
    insert(reader, "name", m_document.ranks, rank.name, rank);
}

void SectionReader::checkRank(EntryReader& reader, const RankSpec& rank)
{
    if (rank.order > maximumRankOrder) {
        reader.addFault("order", "must be given, from 0 to " + std::to_string(maximumRankOrder));
    } else {
        auto [found, isNew] = m_rankByOrder.emplace(rank.order, rank.name);
        if (!isNew)
            reader.addFault("order", "is that of rank " + inQuotes(found->second.text()) + " already");
    }
    m_floorSum += rank.floorPerMille;
    if (m_floorSum > maximumPerMille)
        reader.addFault("floor_per_mille", "makes the sum of all ranks " + std::to_string(m_floorSum) + ", but it must be at most 1000");
}

void SectionReader::readModel(EntryReader& reader, const TeamName& team)
{
    ModelSpec model;
    model.name = ModelName(reader.name("name"));
    model.team = team;
    reader.number("replicas", model.replicas, 0, maximumReplicas);
    reader.bytes("memory", model.memory, true);
    reader.text("version", model.version);
    reader.duration("load_time_from_memory", model.loadTimeFromMemory);
    reader.duration("load_time_from_disk", model.loadTimeFromDisk);
    reader.duration("load_time_from_store", model.loadTimeFromStore);
    insert(reader, "name", m_document.models, model.name, model);
}

void SectionReader::readAdapter(EntryReader& reader, const TeamName& team)
{
    AdapterSpec adapter;
    adapter.name = AdapterName(reader.name("name"));
    adapter.team = team;
    adapter.model = ModelName(reader.name("model"));
    reader.bytes("memory", adapter.memory, false);
    reader.text("version", adapter.version);
    if (insert(reader, "name", m_document.adapters, adapter.name, adapter))
        m_adapterLines[adapter.name] = reader.line();
}

void SectionReader::readService(EntryReader& reader, const TeamName& team)
{
    ServiceSpec service;
    service.name = ServiceName(reader.name("name"));
    service.team = team;
    reader.flag("idempotent", service.idempotent);
    reader.duration("timeout", service.timeout);
    insert(reader, "name", m_document.services, service.name, service);
}

void SectionReader::readDataCentre(EntryReader& reader, const TeamName& team)
{
    DataCentreSpec dataCentre;
    dataCentre.name = DataCentreName(reader.name("name"));
    dataCentre.team = team;
    reader.text("region", dataCentre.region);
    insert(reader, "name", m_document.dataCentres, dataCentre.name, dataCentre);
}

void SectionReader::readDrain(EntryReader& reader, const TeamName& team)
{
    DrainPlan drain;
    drain.backendServer = BackendServerName(reader.name("backend_server"));
    drain.team = team;
    reader.text("reason", drain.reason);
    insert(reader, "backend_server", m_document.drains, drain.backendServer, drain);
}

void SectionReader::readLimits(const SectionContext& context, const toml::node& node)
{
    const toml::table* table = node.as_table();
    if (!table) {
        context.addFault(context.lineOf(node), std::string(limitsKey) + ": must be a table");
        return;
    }
    EntryReader reader(context, *table, std::string(limitsKey));
    FleetLimits limits;
    limits.team = context.team;
    reader.number("store_loads_per_second_per_mille", limits.storeLoadsPerSecondPerMille, 1, maximumStoreLoadsPerSecondPerMille);
    reader.number("store_loads_at_once", limits.storeLoadsAtOnce, 1, maximumStoreLoadsAtOnce);
    reader.number("adapters_in_flight", limits.adaptersInFlight, 1, maximumAdaptersInFlight);
    reader.finish();
    if (m_hasLimits)
        context.addFault(reader.line(), "limits: stand already in the section of team " + m_document.limits.team.text());
    else
        m_document.limits = limits;
    m_hasLimits = true;
}

//==============================================================================
void SectionReader::finish()
{
    for (const auto& [name, adapter] : m_document.adapters) {
        if (!adapter.model.isEmpty() && !m_document.models.contains(adapter.model))
            m_faults.push_back({ m_adapterLines[name], adapter.team, "adapter: model: there is no model " + inQuotes(adapter.model.text()) });
    }
}

} // namespace hemlockchute
