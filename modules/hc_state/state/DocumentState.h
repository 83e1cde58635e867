#pragma once

#include "hemlockchute/state/Commands.h"

#include <deque>

namespace hemlockchute {

//==============================================================================
/**
    The document in force, and the answers to the last submissions.

    A document is accepted whole or not at all, and its version only rises. Thread safety: one
    thread at a time.

    @see StateMachine
*/
class DocumentState {
public:
    /** A submission that was answered, so that a resend gets the same answer. */
    struct Submission {
        SubmitId id;
        Submitter submitter;
        Digest digest;
        SubmitAnswer answer;
    };

    explicit DocumentState(std::size_t rememberedSubmissions);

    SubmitAnswer submit(const SubmitDocument&);

    /** Never null. */
    const DocumentPointer& current() const { return m_current; }
    /** How many replicas of a model may be loaded in all data centres together. */
    unsigned replicaCap(const ModelName&) const;

    /** The submissions remembered, oldest first. */
    const std::deque<Submission>& submissions() const { return m_submissions; }
    /** Takes the place of all that is held. Precondition: the document is not null. */
    void restore(DocumentPointer, std::deque<Submission>);

private:
    SubmitAnswer decide(const SubmitDocument&);
    void remember(Submission);

    std::size_t m_rememberedSubmissions;
    DocumentPointer m_current;
    std::deque<Submission> m_submissions;
};

} // namespace hemlockchute
