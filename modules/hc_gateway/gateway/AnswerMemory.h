#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hemlockchute {

//==============================================================================
/**
    The bytes of answers that are held here until they can be passed on.

    Answers the load of servers whose answers do not end: each answer is bounded, and so are all of
    them together. Small answers always fit, so that a server in trouble harms no other.
    Thread safety: one thread at a time.

    @see HeldAnswer
*/
class AnswerMemory {
public:
    /** Bounds in bytes; an entry host has 160 MB for everything, and a caller's body may have 4 MB. */
    struct Options {
        std::size_t each = 8U << 20U;
        std::size_t inAll = 32U << 20U;
        std::size_t always = 64U << 10U;
    };

    AnswerMemory() = default;
    explicit AnswerMemory(Options options)
        : m_options(options)
    {
    }

    std::size_t held() const { return m_held; }

private:
    friend class HeldAnswer;

    bool mayHold(std::size_t now, std::size_t wanted) const
    {
        bool fitsInAll = m_held - now + wanted <= m_options.inAll;
        return wanted <= m_options.each && (fitsInAll || wanted <= m_options.always);
    }

    Options m_options;
    std::size_t m_held = 0;
};

//==============================================================================
/** One answer's part of the memory; given back with it. Thread safety: one thread at a time. */
class HeldAnswer {
public:
    explicit HeldAnswer(std::shared_ptr<AnswerMemory> memory)
        : m_memory(std::move(memory))
    {
    }
    ~HeldAnswer() { m_memory->m_held -= m_bytes; }
    HeldAnswer(const HeldAnswer&) = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;

    /** Notes that the answer holds so many bytes now; false when they are too many. */
    bool resize(std::size_t bytes)
    {
        bool mayHold = m_memory->mayHold(m_bytes, bytes);
        m_memory->m_held += bytes - m_bytes;
        m_bytes = bytes;
        return mayHold;
    }

private:
    std::shared_ptr<AnswerMemory> m_memory;
    std::size_t m_bytes = 0;
};

} // namespace hemlockchute
