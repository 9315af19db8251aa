#include "balsamreel/Node/AnswerCapture.h"

namespace balsamreel::Node {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerResponse;

void AnswerCapture::startStream()
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

std::error_code AnswerCapture::read(Exchange& exchange)
{
    bool hasBody = answerHasBody(request_.getMethod(), head_.getStatus());
    return exchange.relay(head_, hasBody, [&](const char* data, std::size_t size) {
        if (stream_)
            return static_cast<bool>(stream_->write(data, static_cast<std::streamsize>(size)));
        body_.append(data, size);
        if (body_.size() > maximumBytes_)
            startStream();
        return !stream_ || static_cast<bool>(*stream_);
    });
}

AtMostOnce::RetainedResponse AnswerCapture::answer() const
{
    AtMostOnce::RetainedResponse answer{head_.getStatus(), {}, body_};
    Poco::Net::MessageHeader headers;
    copyHeaders(head_, headers);
    for (const auto& [name, value] : headers)
        answer.headers.emplace_back(name, value);
    return answer;
}

void AnswerCapture::send(std::error_code error)
{
    if (stream_ && error)
        return socketOf(request_).shutdown();
    if (stream_) {
        stream_->flush();
        return;
    }
    // An answer to HEAD has a length but no body.
    bool isHeadOnly = body_.empty() && head_.hasContentLength() && !answerHasBody(request_.getMethod(), head_.getStatus());
    if (isHeadOnly)
        response_.setContentLength64(head_.getContentLength64());
    sendRetained(answer(), response_);
}

void sendRetained(const AtMostOnce::RetainedResponse& answer, HTTPServerResponse& response)
{
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    for (const auto& [name, value] : answer.headers)
        response.add(name, value);
    if (!response.hasContentLength() && answer.status != HTTPResponse::HTTP_NO_CONTENT && answer.status != HTTPResponse::HTTP_NOT_MODIFIED)
        response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
    auto& stream = response.send();
    stream.write(answer.body.data(), static_cast<std::streamsize>(answer.body.size()));
    stream.flush();
}

} // namespace balsamreel::Node
