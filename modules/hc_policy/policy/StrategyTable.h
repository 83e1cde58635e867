#pragma once

#include <memory>
#include <span>
#include <string_view>

namespace hemlockchute {

/** An entry of a table of strategies: a name and a factory. @see findStrategy */
template <typename Interface>
struct Strategy {
    std::string_view name;
    std::unique_ptr<Interface> (*make)();
};

template <typename Interface, typename Implementation>
std::unique_ptr<Interface> makeStrategy()
{
    return std::make_unique<Implementation>();
}

/** Creates an object of the named strategy; null for an unknown name. Thread safety: any thread. */
template <typename Interface>
std::unique_ptr<Interface> findStrategy(std::span<const Strategy<Interface>> strategies, std::string_view name)
{
    for (const Strategy<Interface>& strategy : strategies) {
        if (strategy.name == name)
            return strategy.make();
    }
    return nullptr;
}

} // namespace hemlockchute
