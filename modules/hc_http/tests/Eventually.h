#pragma once

#include "hemlockchute/core/Clock.h"

#include <thread>

namespace hemlockchute {

/** Waits until a condition holds, at most 10 s. Returns whether it holds. Thread safety: that of the condition. */
template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 1000 && !condition(); ++i)
        std::this_thread::sleep_for(10ms);
    return condition();
}

} // namespace hemlockchute
