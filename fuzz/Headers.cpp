// Parses header values, endpoints and query strings. Parsed values have a text that parses to the same value.
#include "balsamreel/Wire/Headers.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/Http.h"

#include <cstdlib>

using namespace balsamreel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string text(data, data + size);
    if (auto id = Wire::parseAttemptId(text); id && Wire::parseAttemptId(id->text()) != id)
        std::abort();
    if (auto stamp = Wire::parseLoadStamp(text); stamp && Wire::parseLoadStamp(stamp->text()) != stamp)
        std::abort();
    if (auto endpoint = Support::parseEndpoint(text); endpoint && Support::parseEndpoint(endpoint->text()) != endpoint)
        std::abort();
    (void)Support::parseEndpoints(text);
    (void)Support::queryValue(text, "path");
    return 0;
}
