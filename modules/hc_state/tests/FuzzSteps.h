#pragma once

#include "hemlockchute/state/state.h"

#include <ostream>
#include <rapidcheck.h>

namespace hemlockchute {

/** One step of a random simulation. Each simulation maps the numbers to its own actions and arguments. */
struct FuzzStep {
    unsigned action = 0;
    unsigned actor = 0;
    unsigned argument = 0;
    unsigned modifier = 0;

    friend std::ostream& operator<<(std::ostream& stream, const FuzzStep& step)
    {
        return stream << step.action << "/" << step.actor << "/" << step.argument << "/" << step.modifier;
    }
};

/** A state machine with a time that the test sets, which can be restarted from its own snapshot. */
class FuzzedMachine {
public:
    explicit FuzzedMachine(StateMachine::Options options = {})
        : m_options(options)
        , m_state(options)
    {
    }

    template <typename Expected>
    Expected apply(CommandBody body)
    {
        return std::get<Expected>(applyAny(std::move(body)));
    }

    Answer applyAny(CommandBody body) { return m_state.apply(m_state.lastApplied().next(), { time, std::move(body) }); }

    void restart()
    {
        auto restored = StateMachine::restore(m_state.snapshot(), m_options);
        RC_ASSERT(restored.has_value());
        m_state = std::move(*restored);
    }

    const StateMachine& state() const { return m_state; }

    WallTime time { 1h };

private:
    StateMachine::Options m_options;
    StateMachine m_state;
};

} // namespace hemlockchute

template <>
struct rc::Arbitrary<hemlockchute::FuzzStep> {
    static Gen<hemlockchute::FuzzStep> arbitrary()
    {
        auto number = gen::inRange(0U, 1000U);
        using Step = hemlockchute::FuzzStep;
        return gen::resize(100, gen::build<Step>(gen::set(&Step::action, number), gen::set(&Step::actor, number), gen::set(&Step::argument, number), gen::set(&Step::modifier, number)));
    }
};

namespace hemlockchute {

/** Up to a few hundred steps, which shrink to the shortest sequence that still fails. */
inline rc::Gen<std::vector<FuzzStep>> fuzzSteps()
{
    constexpr int maximumSteps = 300;
    return rc::gen::resize(maximumSteps, rc::gen::container<std::vector<FuzzStep>>(rc::gen::arbitrary<FuzzStep>()));
}

} // namespace hemlockchute
