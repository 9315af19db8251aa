// Reads an answer whole before it is sent on, as long as it is small enough to be kept.
#pragma once

#include "balsamreel/AtMostOnce/AttemptTable.h"
#include "balsamreel/Node/Exchange.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>
#include <system_error>

namespace balsamreel::Node {

/// The answer to one request. A longer one than the limit is streamed to the requester.
class ResponseBuffer {
public:
    ResponseBuffer(const Poco::Net::HTTPResponse& retainedResponse, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response, std::size_t maximumBytes)
        : head_(retainedResponse)
        , request_(request)
        , response_(response)
        , maximumBytes_(maximumBytes)
    {
    }

    /// Reads the body. Errors: ExchangeError.
    std::error_code read(Exchange&);

    /// Nothing has been sent to the requester; the answer is in memory as far as it has been read.
    bool isBuffered() const { return !stream_; }

    AtMostOnce::RetainedResponse retainedResponse() const;

    /// Sends what is in memory, or ends the stream; a cut stream ends in a cut connection.
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

/// Sends a retained answer to a requester.
void sendRetained(const AtMostOnce::RetainedResponse&, Poco::Net::HTTPServerResponse&);

} // namespace balsamreel::Node
