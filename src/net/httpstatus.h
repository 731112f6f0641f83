#pragma once

namespace laburnumspar::detail {

/// Whether a status ends an exchange. Servers in trouble send others, such as 000, which are no answer.
constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status <= 599;
}

/// Whether another answer follows.
constexpr bool isInterimStatus(unsigned status)
{
    return status >= 100 && status <= 199;
}

} // namespace laburnumspar::detail
