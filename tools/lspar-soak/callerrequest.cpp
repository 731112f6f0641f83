#include "callerrequest.h"

#include "platform/names.h"

namespace laburnumspar::soak {

namespace http = detail::http;
namespace names = platform::names;

http::request<http::string_body>
makeRequest(http::verb method, const std::string &target, const std::string &id, Milliseconds deadline)
{
    http::request<http::string_body> request{method, target, 11};
    request.set(http::field::host, "soak.example");
    request.set(names::RequestId, id);
    request.set(names::DeadlineMs, std::to_string(deadline.count()));
    return request;
}

bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace laburnumspar::soak
