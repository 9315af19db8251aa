// Reads a response completely before it is forwarded, as long as it is short enough to be retained.
#pragma once

#include "balsamreel/AtMostOnce/AttemptTable.h"
#include "balsamreel/Node/Exchange.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>
#include <system_error>

namespace balsamreel::Node {

/// The response to one request. A response that exceeds the limit is streamed to the requester.
class ResponseBuffer {
public:
    ResponseBuffer(const Poco::Net::HTTPResponse& head, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response, std::size_t maximumBytes)
        : head_(head)
        , request_(request)
        , response_(response)
        , maximumBytes_(maximumBytes)
    {
    }

    /// Reads the body. Errors: ExchangeError.
    std::error_code read(Exchange&);

    /// True if nothing has been sent to the requester: what has been read of the response is in memory.
    bool isBuffered() const { return !stream_; }

    AtMostOnce::RetainedResponse retainedResponse() const;

    /// Sends the response from memory, or ends the stream. An error while streaming closes the connection.
    void send(std::error_code);

private:
    void startStream();

    const Poco::Net::HTTPResponse& head_;
    Poco::Net::HTTPServerRequest& request_;
    Poco::Net::HTTPServerResponse& response_;
    std::size_t maximumBytes_;
    std::string body_;
    std::ostream* stream_ = nullptr;
};

/// Sends a retained response to a requester.
void sendRetained(const AtMostOnce::RetainedResponse&, Poco::Net::HTTPServerResponse&);

} // namespace balsamreel::Node
