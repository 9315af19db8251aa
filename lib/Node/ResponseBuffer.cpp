#include "balsamreel/Node/ResponseBuffer.h"

namespace balsamreel::Node {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerResponse;

void ResponseBuffer::startStream()
{
    response_.setStatusAndReason(head_.getStatus(), head_.getReason());
    copyHeaders(head_, response_);
    if (head_.hasContentLength())
        response_.setContentLength64(head_.getContentLength64());
    else
        response_.setChunkedTransferEncoding(true);
    stream_ = &response_.send();
    stream_->write(body_.data(), static_cast<std::streamsize>(body_.size()));
}

std::error_code ResponseBuffer::read(Exchange& exchange)
{
    bool hasBody = Support::responseHasBody(request_.getMethod(), head_.getStatus());
    return exchange.relay(head_, hasBody, [&](const char* data, std::size_t size) {
        if (stream_)
            return static_cast<bool>(stream_->write(data, static_cast<std::streamsize>(size)));
        body_.append(data, size);
        if (body_.size() > maximumBytes_)
            startStream();
        return !stream_ || static_cast<bool>(*stream_);
    });
}

AtMostOnce::RetainedResponse ResponseBuffer::retainedResponse() const
{
    AtMostOnce::RetainedResponse retainedResponse{head_.getStatus(), {}, body_};
    Poco::Net::MessageHeader headers;
    copyHeaders(head_, headers);
    for (const auto& [name, value] : headers)
        retainedResponse.headers.emplace_back(name, value);
    return retainedResponse;
}

void ResponseBuffer::send(std::error_code error)
{
    if (stream_ && error)
        return socketOf(request_).shutdown();
    if (stream_) {
        stream_->flush();
        return;
    }
    // A response to HEAD has a content length but no body.
    bool isHeadOnly = body_.empty() && head_.hasContentLength() && !Support::responseHasBody(request_.getMethod(), head_.getStatus());
    if (isHeadOnly)
        response_.setContentLength64(head_.getContentLength64());
    sendRetained(retainedResponse(), response_);
}

void sendRetained(const AtMostOnce::RetainedResponse& retainedResponse, HTTPServerResponse& response)
{
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(retainedResponse.status));
    for (const auto& [name, value] : retainedResponse.headers)
        response.add(name, value);
    if (!response.hasContentLength() && retainedResponse.status != HTTPResponse::HTTP_NO_CONTENT && retainedResponse.status != HTTPResponse::HTTP_NOT_MODIFIED)
        response.setContentLength64(static_cast<Poco::Int64>(retainedResponse.body.size()));
    auto& stream = response.send();
    stream.write(retainedResponse.body.data(), static_cast<std::streamsize>(retainedResponse.body.size()));
    stream.flush();
}

} // namespace balsamreel::Node
