// Feeds a caller's bytes to the request pipeline in pieces of random size and responds to open requests in random order.
// Whatever is sent, request numbers rise, targets start with a slash, the number of open requests stays within its limit,
// and the pipeline has output once all open requests have a response.
#include "balsamreel/Relay/RequestPipeline.h"

#include <cstdlib>
#include <string>

using namespace balsamreel::Relay;

namespace {

void abortUnless(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    RequestPipeline pipeline({[] { return CallerLimits{.headerBytes = 512, .bodyBytes = 512}; }, [](const IncomingRequest& incoming) { return incoming.request.method == "GET"; }});
    constexpr std::size_t maximumPieceBytes = 32;
    constexpr std::size_t maximumOpenRequests = 16; // as in RequestPipeline.cpp
    std::vector<RequestNumber> openRequests;
    RequestNumber lastNumber = 0;
    // The first byte of a piece also selects the length of the piece and the request to respond to.
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    while (!bytes.empty()) {
        auto selector = static_cast<std::size_t>(static_cast<unsigned char>(bytes.front()));
        auto piece = bytes.substr(0, 1 + selector % maximumPieceBytes);
        bytes.remove_prefix(piece.size());
        if (pipeline.wantsInput())
            pipeline.receive(piece);
        while (auto next = pipeline.takeNext()) {
            abortUnless(next->number > lastNumber);
            abortUnless(!next->incoming.request.target.empty() && next->incoming.request.target.front() == '/');
            lastNumber = next->number;
            openRequests.push_back(next->number);
        }
        abortUnless(openRequests.size() <= maximumOpenRequests);
        if (openRequests.empty() || selector % 3 != 0)
            continue;
        auto completed = openRequests.begin() + static_cast<std::ptrdiff_t>(selector % openRequests.size());
        pipeline.respond(*completed, {200, {}, "x"}, selector % 64 == 0);
        openRequests.erase(completed);
        (void)pipeline.takeOutput();
    }
    for (auto number : openRequests)
        pipeline.respond(number, {200, {}, "x"}, true);
    abortUnless(openRequests.empty() || !pipeline.takeOutput().empty());
    return 0;
}
