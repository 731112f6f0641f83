#include "gateway/messagebody.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// A body of unknown length grows by pieces as large as what has arrived, within these bounds.
constexpr std::size_t MinPieceBytes = 1 << 10;
constexpr std::size_t MaxPieceBytes = 256 << 10;

} // namespace

MessageBody::MessageBody(std::string text)
    : m_size(text.size())
{
    m_pieces.push_back(std::move(text));
}

MessageBody::MessageBody(MemoryBudget &budget, MemoryUse use)
    : m_memory(budget, use)
{
}

bool MessageBody::reserve(std::size_t bytes)
{
    return m_memory.resize(bytes);
}

void MessageBody::announce(std::size_t bytes)
{
    if (bytes > 0) {
        m_pieces.emplace_back().reserve(bytes);
    }
}

bool MessageBody::append(std::string_view text)
{
    const auto size = m_size + text.size();
    if (size > m_memory.bytes() && !m_memory.resize(size)) {
        return false;
    }
    while (!text.empty()) {
        if (m_pieces.empty() || m_pieces.back().size() == m_pieces.back().capacity()) {
            m_pieces.emplace_back().reserve(std::clamp(m_size, MinPieceBytes, MaxPieceBytes));
        }
        auto &piece = m_pieces.back();
        const auto part = text.substr(0, piece.capacity() - piece.size());
        piece.append(part);
        m_size += part.size();
        text.remove_prefix(part.size());
    }
    return true;
}

void MessageBody::clear()
{
    m_pieces.clear();
    m_size = 0;
    m_memory.hold(0);
}

std::string MessageBody::text() const
{
    std::string result;
    for (const auto &it : m_pieces) {
        result += it;
    }
    return result;
}

void MessageBody::appendTo(std::vector<asio::const_buffer> &buffers) const
{
    for (const auto &it : m_pieces) {
        buffers.push_back(asio::buffer(it));
    }
}

} // namespace laburnumspar::detail
