#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace laburnumspar {

/// Base of all exceptions of the library.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A settings text that was refused; names the file or path, the key, the line and what is expected there.
class SettingsError : public Error
{
public:
    SettingsError(std::string file, std::string key, std::size_t line, std::string expected);

    const std::string &file() const
    {
        return m_file;
    }
    const std::string &key() const
    {
        return m_key;
    }
    /// Line in the text, from 1; 0 if the key is missing.
    std::size_t line() const
    {
        return m_line;
    }
    const std::string &expected() const
    {
        return m_expected;
    }

private:
    std::string m_file;
    std::string m_key;
    std::size_t m_line;
    std::string m_expected;
};

/// Bytes which are not a valid message.
class DecodeError : public Error
{
public:
    using Error::Error;
};

/// A socket operation that failed.
class TransportError : public Error
{
public:
    using Error::Error;
};

/// A command line that cannot be carried out.
class UsageError : public Error
{
public:
    using Error::Error;
};

/// A broken invariant: a fault of the program itself.
class InvariantError : public Error
{
public:
    using Error::Error;
};

/// Throws InvariantError if `holds` is false.
void requireInvariant(bool holds, const char *invariant);

} // namespace laburnumspar
