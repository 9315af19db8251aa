#pragma once

#include "balsamreel/Support/Endpoint.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamreel::Support {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

struct HttpServerOptions {
    int maximumConnections = 600; ///< each is served by its own thread while it is open
    int idleSeconds = 30; ///< a keep-alive connection is closed after this time without a request
    int requestSeconds = 30; ///< longest silence while a request is being read
    std::size_t maximumHeaderBytes = 32UL * 1024; ///< a connection with a longer header is closed
};

/// HTTP server on POCO Net for nodes and stand-ins. Runs the handler for each request on the connection's own thread.
class HttpService {
public:
    /// Throws Poco::Net::NetException if the address can't be bound.
    HttpService(const Endpoint&, HttpHandler, HttpServerOptions = {});
    ~HttpService();
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    void start();

    /// Accepts no more connections; open ones remain. Responses from then on close their connection.
    void stopAccepting();

    /// Closes all connections at once.
    void abort();
    int openConnections() const;

private:
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

/// Makes the system close a connection whose peer has stopped reading or is silent, after several seconds.
void setConnectionTimeouts(Poco::Net::Socket&);

/// Sends a complete small response.
void sendText(Poco::Net::HTTPServerResponse&, int status, std::string_view contentType, std::string_view body);

/// Reads a body of at most limit bytes; false if it is longer.
bool readBody(std::istream&, std::size_t limit, std::string& body);

/// Value of a query parameter, or the fallback.
std::string queryValue(const std::string& uri, const std::string& name, const std::string& fallback = {});

/// The path of a request's URI, without the query.
std::string pathOf(const std::string& uri);

} // namespace balsamreel::Support
