#pragma once

#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    Creates the plug-ins that implement one interface class, by name.

    A plug-in registers itself with a ScopedPluginRegistration at namespace scope in its own source
    file. Thread safety: every method may be called from any thread.

    @see ScopedPluginRegistration
*/
template <typename Interface>
class PluginRegistry {
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    /** The registry of this interface. */
    static PluginRegistry& instance()
    {
        static PluginRegistry registry;
        return registry;
    }

    /** Registers a plug-in. Precondition: the name is not registered yet. */
    void add(std::string name, Factory factory)
    {
        std::lock_guard guard(m_lock);
        [[maybe_unused]] bool isNew = m_factories.emplace(std::move(name), std::move(factory)).second;
        assert(isNew);
    }

    /** A new plug-in of that name, or null when there is none. */
    std::unique_ptr<Interface> create(std::string_view name) const
    {
        std::lock_guard guard(m_lock);
        auto found = m_factories.find(name);
        return found == m_factories.end() ? nullptr : found->second();
    }

    /** The registered names, in alphabetical order. */
    std::vector<std::string> names() const
    {
        std::lock_guard guard(m_lock);
        std::vector<std::string> names;
        for (const auto& [name, factory] : m_factories)
            names.push_back(name);
        return names;
    }

private:
    mutable std::mutex m_lock;
    std::map<std::string, Factory, std::less<>> m_factories;
};

//==============================================================================
/**
    Registers a plug-in when the program starts.

    @code
    const ScopedPluginRegistration<RoleService, RouterService> registration("router");
    @endcode

    @see PluginRegistry
*/
template <typename Interface, typename Plugin>
class ScopedPluginRegistration {
public:
    explicit ScopedPluginRegistration(std::string name)
    {
        PluginRegistry<Interface>::instance().add(std::move(name), [] { return std::make_unique<Plugin>(); });
    }
};

} // namespace hemlockchute
