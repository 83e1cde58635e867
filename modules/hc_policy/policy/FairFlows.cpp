#include "policy/FairFlows.h"

#include <algorithm>

namespace hemlockchute {

void FairFlows::setWaiting(const ModelName& model, Instant deadline)
{
    auto [position, isNew] = m_tags.try_emplace(model);
    Tags& tags = position->second;
    if (tags.isWaiting && tags.deadline == deadline)
        return;
    (tags.isWaiting ? m_waiting : m_idle).erase({ tags.start, tags.deadline, model });
    if (!tags.isWaiting)
        tags.start = isNew ? m_virtualTime : std::max(tags.start, m_virtualTime);
    tags.isWaiting = true;
    tags.deadline = deadline;
    m_waiting.emplace(tags.start, tags.deadline, model);
}

void FairFlows::setIdle(const ModelName& model)
{
    auto found = m_tags.find(model);
    if (found == m_tags.end() || !found->second.isWaiting)
        return;
    Tags& tags = found->second;
    Key key { tags.start, tags.deadline, model };
    m_waiting.erase(key);
    m_idle.insert(std::move(key));
    tags.isWaiting = false;
    if (m_waiting.empty())
        m_virtualTime = std::max(m_virtualTime, std::get<Duration>(*m_idle.rbegin()));
    forgetPast();
}

void FairFlows::noteServed(const ModelName& model, Duration cost)
{
    auto found = m_tags.find(model);
    if (found == m_tags.end())
        return;
    Duration start = std::max(found->second.start, m_virtualTime - longestCatchUp);
    m_virtualTime = std::max(m_virtualTime, start);
    moveStart(model, found->second, start + cost);
    forgetPast();
}

void FairFlows::adjust(const ModelName& model, Duration difference)
{
    auto found = m_tags.find(model);
    if (found == m_tags.end()) {
        if (difference <= Duration::zero())
            return;
        found = m_tags.emplace(model, Tags { m_virtualTime, false, {} }).first;
    }
    moveStart(model, found->second, found->second.start + difference);
}

void FairFlows::visit(const std::function<bool(const ModelName&)>& visit) const
{
    for (const Key& key : m_waiting) {
        if (visit(std::get<ModelName>(key)))
            return;
    }
}

//==============================================================================
void FairFlows::moveStart(const ModelName& model, Tags& tags, Duration start)
{
    std::set<Key>& keys = tags.isWaiting ? m_waiting : m_idle;
    keys.erase({ tags.start, tags.deadline, model });
    tags.start = start;
    keys.emplace(tags.start, tags.deadline, model);
}

void FairFlows::forgetPast()
{
    while (!m_idle.empty() && std::get<Duration>(*m_idle.begin()) <= m_virtualTime) {
        m_tags.erase(std::get<ModelName>(*m_idle.begin()));
        m_idle.erase(m_idle.begin());
    }
}

} // namespace hemlockchute
