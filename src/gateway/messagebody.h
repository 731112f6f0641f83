#pragma once

#include "gateway/memorybudget.h"
#include "net/io.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar::detail {

/// The body of a request or an answer, counted in a memory budget. Held in pieces, so that a body of unknown length is
/// never copied to grow.
class MessageBody
{
public:
    MessageBody() = default;
    /// A body that is not counted.
    MessageBody(std::string text);
    /// An empty body that is counted.
    MessageBody(MemoryBudget &budget, MemoryUse use);

    /// Reserves memory for a body of known length. Returns false if it does not fit.
    bool reserve(std::size_t bytes);
    /// Provides space for a body of known length, which is counted as the bytes arrive.
    void announce(std::size_t bytes);
    /// Returns false if the text does not fit into the memory.
    bool append(std::string_view text);
    void clear();

    bool empty() const
    {
        return m_size == 0;
    }
    std::size_t size() const
    {
        return m_size;
    }
    std::string text() const;
    void appendTo(std::vector<asio::const_buffer> &buffers) const;

private:
    MemoryReservation m_memory;
    std::vector<std::string> m_pieces;
    std::size_t m_size = 0;
};

/// Lets the parser of a message append to a MessageBody. If the body does not fit, parsing ends with
/// asio::error::no_memory.
struct BudgetedBody {
    using value_type = MessageBody;

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    class Reader
    {
    public:
        template <bool IsRequest, typename Fields>
        Reader(http::header<IsRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, error_code &ec)
        {
            ec = {};
            if (length) {
                m_body.announce(std::size_t(*length));
            }
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, error_code &ec)
        {
            std::size_t n = 0;
            for (const auto it : beast::buffers_range_ref(buffers)) {
                if (!m_body.append({static_cast<const char *>(it.data()), it.size()})) {
                    ec = asio::error::no_memory;
                    return n;
                }
                n += it.size();
            }
            ec = {};
            return n;
        }

        void finish(error_code &ec)
        {
            ec = {};
        }

    private:
        value_type &m_body;
    };
    using reader = Reader; ///< the name that the parser expects
};

} // namespace laburnumspar::detail
