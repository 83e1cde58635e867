#include "state/DocumentState.h"

#include <algorithm>
#include <cassert>

namespace hemlockchute {
namespace {

/** An answer with more faults is not remembered, since the same text gives the same faults again. */
constexpr std::size_t maximumRememberedFaults = 100;

DocumentFaults forbiddenChanges(const Document& before, const Document& after, const Submitter& submitter)
{
    DocumentFaults faults;
    if (submitter.isAdministrator)
        return faults;
    for (const TeamName& team : changedTeams(before, after)) {
        if (team != submitter.team)
            faults.push_back({ 0, team, "its section may not be changed by team " + submitter.team.text() });
    }
    return faults;
}

} // namespace

DocumentState::DocumentState(std::size_t rememberedSubmissions)
    : m_rememberedSubmissions(rememberedSubmissions)
    , m_current(std::make_shared<Document>())
{
}

SubmitAnswer DocumentState::submit(const SubmitDocument& command)
{
    Digest digest = Digest::of(command.text);
    for (const Submission& earlier : m_submissions) {
        if (earlier.id == command.submitId && earlier.digest == digest && earlier.submitter == command.submitter)
            return earlier.answer;
    }
    SubmitAnswer answer = decide(command);
    remember({ command.submitId, command.submitter, digest, answer });
    return answer;
}

SubmitAnswer DocumentState::decide(const SubmitDocument& command)
{
    using enum SubmitAnswer::Verdict;
    if (command.base != m_current->version)
        return { Conflict, m_current->version, {} };
    auto document = parseDocument(command.text, m_current->version.next());
    if (!document)
        return { Rejected, m_current->version, std::move(document.error()) };
    DocumentFaults forbidden = forbiddenChanges(*m_current, *document, command.submitter);
    if (!forbidden.empty())
        return { Forbidden, m_current->version, std::move(forbidden) };
    m_current = std::make_shared<Document>(std::move(*document));
    return { Accepted, m_current->version, {} };
}

void DocumentState::remember(Submission submission)
{
    if (submission.answer.faults.size() > maximumRememberedFaults)
        return;
    m_submissions.push_back(std::move(submission));
    while (m_submissions.size() > m_rememberedSubmissions)
        m_submissions.pop_front();
}

unsigned DocumentState::replicaCap(const ModelName& model) const
{
    auto found = m_current->models.find(model);
    return found == m_current->models.end() ? 0 : found->second.replicas;
}

void DocumentState::restore(DocumentPointer document, std::deque<Submission> submissions)
{
    assert(document);
    m_current = std::move(document);
    m_submissions = std::move(submissions);
}

} // namespace hemlockchute
