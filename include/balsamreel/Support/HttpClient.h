// HTTP client connections that accept only valid and complete responses.
#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <functional>
#include <string>

namespace balsamreel::Support {

/// How the reading of a body ended.
enum class BodyEnd : std::uint8_t { Complete,
    Truncated, ///< it ends early, or its chunks are malformed
    Stopped ///< the sink wanted no more
};

/// A client connection of POCO that rejects malformed responses and detects truncated bodies. Everything that reads responses
/// of other processes uses it.
class HttpClientSession : public Poco::Net::HTTPClientSession {
public:
    using Poco::Net::HTTPClientSession::HTTPClientSession;

    /// Receives one part of a body. Returns false to stop reading.
    using Sink = std::function<bool(const char* data, std::size_t size)>;

    /// Receives the head of the final response; skips interim ones. Throws Poco::Net::MessageException if the head is malformed.
    /// The stream does not report truncated bodies: use readBody() instead.
    std::istream& receiveResponse(Poco::Net::HTTPResponse&) override;

    /// Reads the body of the response just received.
    BodyEnd readBody(const Poco::Net::HTTPResponse&, bool hasBody, const Sink&);

private:
    BodyEnd readFixed(std::uint64_t length, const Sink&);
    BodyEnd readChunked(const Sink&);
    BodyEnd readToEnd(const Sink&);
    bool readLine(std::string& line);
    bool readTrailers();
};

/// True if a response with this status to this method has a body.
bool responseHasBody(const std::string& method, int status);

} // namespace balsamreel::Support
