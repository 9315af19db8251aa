// A caller's bytes in random pieces: answers come out in the order of the requests, within the bounds, whatever is sent.
#include "balsamreel/Relay/RequestPipeline.h"

#include <cstdlib>
#include <string>

using namespace balsamreel::Relay;

namespace {

void check(bool holds)
{
    if (!holds)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    RequestPipeline pipeline({[] { return CallerLimits{.headerBytes = 512, .bodyBytes = 512}; }, [](const IncomingRequest& incoming) { return incoming.request.method == "GET"; }});
    constexpr std::size_t longestPiece = 32;
    constexpr std::size_t maximumOpen = 16;
    std::vector<RequestNumber> open;
    RequestNumber last = 0;
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    while (!bytes.empty()) {
        auto choice = static_cast<std::size_t>(static_cast<unsigned char>(bytes.front()));
        auto piece = bytes.substr(0, 1 + choice % longestPiece);
        bytes.remove_prefix(piece.size());
        if (pipeline.wantsInput())
            pipeline.receive(piece);
        while (auto taken = pipeline.takeNext()) {
            check(taken->number > last);
            check(!taken->incoming.request.target.empty() && taken->incoming.request.target.front() == '/');
            last = taken->number;
            open.push_back(taken->number);
        }
        check(open.size() <= maximumOpen);
        if (open.empty() || choice % 3 != 0)
            continue;
        auto answered = open.begin() + static_cast<std::ptrdiff_t>(choice % open.size());
        pipeline.respond(*answered, {200, {}, "x"}, choice % 64 == 0);
        open.erase(answered);
        (void)pipeline.takeOutput();
    }
    for (auto number : open)
        pipeline.respond(number, {200, {}, "x"}, true);
    check(open.empty() || !pipeline.takeOutput().empty());
    return 0;
}
