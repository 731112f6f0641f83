#pragma once

#include "laburnumspar/errors.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumspar {

/// Thrown for a plug-in name that is not registered.
class UnknownPluginError : public Error
{
public:
    using Error::Error;
};

/// Factories of the implementations of an interface, by name.
template <typename Interface>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    /// The registry that Registration adds to.
    static Registry &global()
    {
        static Registry registry;
        return registry;
    }

    /// Adds a factory, or replaces the one with the same name.
    void add(const std::string &name, Factory factory)
    {
        m_factories[name] = std::move(factory);
    }

    /// Creates the implementation with this name. Throws UnknownPluginError if it is not registered.
    std::unique_ptr<Interface> make(const std::string &name) const
    {
        const auto it = m_factories.find(name);
        if (it == m_factories.end()) {
            throw UnknownPluginError("unknown plug-in: " + name);
        }
        return it->second();
    }

    /// Registered names in alphabetical order.
    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto &[name, factory] : m_factories) {
            names.push_back(name);
        }
        return names;
    }

private:
    std::map<std::string, Factory> m_factories;
};

/// Registers `Implementation` under a name. Define a constant of this type at namespace scope, so that the registration
/// takes place during static initialisation.
template <typename Interface, typename Implementation>
struct Registration {
    explicit Registration(const std::string &name)
    {
        Registry<Interface>::global().add(name, [] { return std::make_unique<Implementation>(); });
    }
};

} // namespace laburnumspar
