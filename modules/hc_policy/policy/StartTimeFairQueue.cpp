#include "policy/StartTimeFairQueue.h"

#include <algorithm>

namespace hemlockchute {

void StartTimeFairQueue::setWaiting(const ModelName& model, Instant deadline)
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

void StartTimeFairQueue::setIdle(const ModelName& model)
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
    removeIdleTags();
}

void StartTimeFairQueue::noteServed(const ModelName& model, Duration cost)
{
    auto found = m_tags.find(model);
    if (found == m_tags.end())
        return;
    Duration start = std::max(found->second.start, m_virtualTime - maximumCatchUp);
    m_virtualTime = std::max(m_virtualTime, start);
    setStartTag(model, found->second, start + cost);
    removeIdleTags();
}

void StartTimeFairQueue::adjust(const ModelName& model, Duration difference)
{
    auto found = m_tags.find(model);
    if (found == m_tags.end()) {
        if (difference <= Duration::zero())
            return;
        found = m_tags.emplace(model, Tags { m_virtualTime, false, {} }).first;
    }
    setStartTag(model, found->second, found->second.start + difference);
}

void StartTimeFairQueue::visit(const std::function<bool(const ModelName&)>& visit) const
{
    for (const Key& key : m_waiting) {
        if (visit(std::get<ModelName>(key)))
            return;
    }
}

//==============================================================================
void StartTimeFairQueue::setStartTag(const ModelName& model, Tags& tags, Duration start)
{
    std::set<Key>& keys = tags.isWaiting ? m_waiting : m_idle;
    keys.erase({ tags.start, tags.deadline, model });
    tags.start = start;
    keys.emplace(tags.start, tags.deadline, model);
}

void StartTimeFairQueue::removeIdleTags()
{
    while (!m_idle.empty() && std::get<Duration>(*m_idle.begin()) <= m_virtualTime) {
        m_tags.erase(std::get<ModelName>(*m_idle.begin()));
        m_idle.erase(m_idle.begin());
    }
}

} // namespace hemlockchute
