#include "balsamreel/Support/Http.h"

#include "balsamreel/Support/HeaderLimit.h"
#include "balsamreel/Support/Log.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <array>
#include <istream>
#include <netinet/tcp.h>
#include <ostream>

namespace balsamreel::Support {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

class FunctionHandler : public Poco::Net::HTTPRequestHandler {
public:
    explicit FunctionHandler(const HttpHandler& handler)
        : handler_(handler)
    {
    }

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        auto& socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
        allowBody(socket);
        handler_(request, response);
        expectHeader(socket);
    }

private:
    const HttpHandler& handler_;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit FunctionHandlerFactory(HttpHandler handler)
        : handler_(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override { return new FunctionHandler(handler_); }

private:
    HttpHandler handler_;
};

constexpr int listenBacklog = 512;
constexpr int threadIdleSeconds = 10;
// Handlers keep their buffers on the heap, so a small stack suffices and a thread per connection stays cheap.
constexpr int handlerStackBytes = 256 * 1024;

Poco::Net::ServerSocket bindSocket(const Endpoint& endpoint, std::size_t maximumHeaderBytes)
{
    HeaderLimitedServerSocket socket(maximumHeaderBytes);
    socket.bind(Poco::Net::SocketAddress(endpoint.host, endpoint.port), true, false);
    // Accepted connections inherit these options on Linux.
    setConnectionTimeouts(socket);
    socket.listen(listenBacklog);
    return socket;
}

Poco::Net::HTTPServerParams::Ptr makeParams(const HttpServerOptions& options)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(options.maximumConnections);
    params->setMaxQueued(options.maximumConnections);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(options.idleSeconds, 0));
    params->setTimeout(Poco::Timespan(options.requestSeconds, 0));
    params->setThreadIdleTime(Poco::Timespan(threadIdleSeconds, 0));
    return params;
}

} // namespace

void setConnectionTimeouts(Poco::Net::Socket& socket)
{
    constexpr int idleSeconds = 2;
    constexpr int probeIntervalSeconds = 1;
    constexpr int probeCount = 3;
    constexpr int unacknowledgedMillis = 5000;
    // A peer that reads nothing still acknowledges keep-alive probes, so sending needs its own timeout.
    const Poco::Timespan sendTimeout(10, 0);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, idleSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMillis);
    socket.setSendTimeout(sendTimeout);
}

HttpService::HttpService(const Endpoint& endpoint, HttpHandler handler, HttpServerOptions options)
    : threads_(2, options.maximumConnections + 1, threadIdleSeconds, handlerStackBytes)
    , server_(std::make_unique<Poco::Net::HTTPServer>(new FunctionHandlerFactory(std::move(handler)), threads_, bindSocket(endpoint, options.maximumHeaderBytes), makeParams(options)))
{
}

HttpService::~HttpService()
{
    abort();
}

void HttpService::start()
{
    server_->start();
}

void HttpService::stopAccepting()
{
    server_->stop();
}

void HttpService::abort()
{
    server_->stopAll(true);
    threads_.joinAll();
}

int HttpService::openConnections() const
{
    return server_->currentConnections();
}

void sendText(HTTPServerResponse& response, int status, std::string_view contentType, std::string_view body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(std::string(contentType));
    response.sendBuffer(body.data(), body.size());
}

bool readBody(std::istream& stream, std::size_t limit, std::string& body)
{
    constexpr std::size_t chunkBytes = 4096;
    std::array<char, chunkBytes> chunk;
    while (stream.read(chunk.data(), chunk.size()) || stream.gcount() > 0) {
        if (body.size() + static_cast<std::size_t>(stream.gcount()) > limit)
            return false;
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    }
    return true;
}

std::string queryValue(const std::string& uri, const std::string& name, const std::string& fallback)
{
    try {
        for (const auto& [key, value] : Poco::URI(uri).getQueryParameters()) {
            if (key == name)
                return value;
        }
    } catch (const Poco::Exception&) {
        return fallback;
    }
    return fallback;
}

std::string pathOf(const std::string& uri)
{
    return uri.substr(0, uri.find('?'));
}

} // namespace balsamreel::Support
