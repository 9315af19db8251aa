#include "balsamreel/Node/HeadExchange.h"

#include "balsamreel/Node/Exchange.h"
#include "balsamreel/Store/ObjectStore.h"
#include "balsamreel/Support/Http.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <fmt/format.h>

namespace balsamreel::Node {

using Poco::Net::HTTPResponse;

namespace {

const Poco::Timespan fetchTimeout(1, 0);
// An announcement is not worth a longer wait: a peer that misses it learns the generation from the next ping.
const Poco::Timespan announceTimeout(0, 300'000);

} // namespace

std::optional<Config::Head> fetchHead(const Support::Endpoint& peer)
{
    try {
        Session session(peer.host, peer.port);
        session.setTimeout(fetchTimeout);
        Poco::Net::HTTPRequest request("GET", headPath, "HTTP/1.1");
        session.sendRequest(request);
        HTTPResponse response;
        std::string text;
        auto& stream = session.receiveResponse(response);
        bool isComplete = Support::readBody(stream, Store::maximumValueBytes, text) && response.getContentLength64() == static_cast<Poco::Int64>(text.size());
        if (!isComplete)
            return std::nullopt;
        if (response.getStatus() == HTTPResponse::HTTP_NOT_FOUND)
            return Config::Head();
        return response.getStatus() == HTTPResponse::HTTP_OK ? Config::decodeHead(text) : std::nullopt;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

bool announceGeneration(const Support::Endpoint& peer, std::uint64_t generation, const std::string& node)
{
    try {
        std::string name;
        Poco::URI::encode(node, "?#&=+%", name);
        Session session(peer.host, peer.port);
        session.setTimeout(announceTimeout);
        Poco::Net::HTTPRequest request("GET", fmt::format("{}?generation={}&node={}", newerPath, generation, name), "HTTP/1.1");
        session.sendRequest(request);
        HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus() == HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace balsamreel::Node
