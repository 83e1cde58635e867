#pragma once

#include "hemlockchute/state/Commands.h"

#include <deque>

namespace hemlockchute {

//==============================================================================
/**
    The document in force, and the answers to the last submissions.

    A document is accepted as a whole or not at all, and its version only increases. Thread safety:
    one thread at a time.

    @see StateMachine
*/
class DocumentState {
public:
    /** An answered submission, remembered so that a resend gets the same answer. */
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

    /** The remembered submissions, oldest first. */
    const std::deque<Submission>& submissions() const { return m_submissions; }
    /** Replaces the document and the remembered submissions. Precondition: the document is not null. */
    void restore(DocumentPointer, std::deque<Submission>);

private:
    SubmitAnswer decide(const SubmitDocument&);
    void remember(Submission);

    std::size_t m_rememberedSubmissions;
    DocumentPointer m_current;
    std::deque<Submission> m_submissions;
};

} // namespace hemlockchute
