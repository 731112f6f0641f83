#pragma once

#include "laburnumspar/errors.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumspar {

/// A plug-in name that nothing has registered.
class UnknownPluginError : public Error
{
public:
    using Error::Error;
};

/// Makers of the implementations of one interface, by name.
template <typename Interface>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    static Registry &global()
    {
        static Registry registry;
        return registry;
    }

    void add(const std::string &name, Factory factory)
    {
        m_factories[name] = std::move(factory);
    }

    /// Throws UnknownPluginError for a name that is not registered.
    std::unique_ptr<Interface> make(const std::string &name) const
    {
        const auto it = m_factories.find(name);
        if (it == m_factories.end()) {
            throw UnknownPluginError("no plug-in named " + name);
        }
        return it->second();
    }

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

/// Registers `Implementation` under a name while the program starts; define one at namespace scope.
template <typename Interface, typename Implementation>
struct Registration {
    explicit Registration(const std::string &name)
    {
        Registry<Interface>::global().add(name, [] { return std::make_unique<Implementation>(); });
    }
};

} // namespace laburnumspar
