#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace laburnumspar {

/// Base class of all exceptions that the library throws.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// An invalid settings text. what() has the form `FILE:LINE: KEY: EXPECTED`, without the line if that is 0.
class SettingsError : public Error
{
public:
    /// `file`: name of the file or path of the value. `expected`: a sentence that says what is expected of the key,
    /// for instance "the value must be a string".
    SettingsError(std::string file, std::string key, std::size_t line, std::string expected);

    const std::string &file() const
    {
        return m_file;
    }
    const std::string &key() const
    {
        return m_key;
    }
    /// Line number, starting at 1; 0 if the key is missing or the error concerns the whole text.
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

/// Data that is not a valid message or document.
class DecodeError : public Error
{
public:
    using Error::Error;
};

/// A failed network operation, such as a socket that cannot be opened or an unexpected HTTP status.
class TransportError : public Error
{
public:
    using Error::Error;
};

/// An invalid command line, option or parameter.
class UsageError : public Error
{
public:
    using Error::Error;
};

/// A violated invariant, which is a bug in the program or in its use of the library.
class InvariantError : public Error
{
public:
    using Error::Error;
};

/// Throws InvariantError if `holds` is false. `invariant` describes the condition that must hold.
void requireInvariant(bool holds, const char *invariant);

} // namespace laburnumspar
