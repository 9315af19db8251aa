#include "balsamreel/Standins/Chain.h"

#include "balsamreel/Support/Http.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <array>

namespace balsamreel::Standins {

namespace {

constexpr std::array<const char*, 7> propagatedHeaders{"X-Balsam-Call", "X-Balsam-Depth", "X-Balsam-Remaining-Us", "X-Balsam-Trace", "X-Balsam-Retries-Left", "X-Test-Work-Us", "X-Test-Bytes"};
constexpr std::size_t maximumResponseBytes = std::size_t(1024) * 1024;
constexpr long callTimeoutSeconds = 30;

void copyPropagatedHeaders(const Poco::Net::HTTPServerRequest& from, Poco::Net::HTTPRequest& to)
{
    for (const char* name : propagatedHeaders) {
        if (from.has(name))
            to.set(name, from.get(name));
    }
}

} // namespace

bool callNextInChain(const Poco::Net::HTTPServerRequest& request, const Support::Endpoint& entry, const std::string& id)
{
    auto chain = request.get(chainHeader, "");
    if (chain.empty())
        return true;
    auto comma = chain.find(',');
    Poco::Net::HTTPRequest next(Poco::Net::HTTPRequest::HTTP_GET, chain.substr(0, comma), Poco::Net::HTTPRequest::HTTP_1_1);
    copyPropagatedHeaders(request, next);
    auto nextId = id + "." + request.get("X-Balsam-Depth", "0");
    next.set("X-Test-Id", nextId);
    if (comma != std::string::npos)
        next.set(chainHeader, chain.substr(comma + 1));
    try {
        Poco::Net::HTTPClientSession session(entry.host, entry.port);
        session.setTimeout(Poco::Timespan(callTimeoutSeconds, 0));
        session.sendRequest(next);
        Poco::Net::HTTPResponse response;
        std::string body;
        auto& stream = session.receiveResponse(response);
        return Support::readBody(stream, maximumResponseBytes, body) && response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK && response.get("X-Test-Id", "") == nextId;
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace balsamreel::Standins
