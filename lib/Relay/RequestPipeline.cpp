#include "balsamreel/Relay/RequestPipeline.h"

#include "balsamreel/Relay/HttpText.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cassert>

namespace balsamreel::Relay {

namespace {

namespace http = boost::beast::http;

// Of one connection, so that it can't take all of a node's memory or all slots of a service.
constexpr std::size_t maximumOpenRequests = 16;
// What a caller may send ahead, and what it may leave unread of its answers, before no more is read from it.
constexpr std::size_t maximumUnreadBytes = 64 * 1024;
// Of a line that belongs to the framing of a chunked body, and of the fields behind it.
constexpr std::size_t maximumFramingBytes = 16 * 1024;
constexpr std::uint32_t badRequest = 400;
constexpr std::uint32_t payloadTooLarge = 413;
constexpr std::uint32_t headersTooLarge = 431;
constexpr unsigned http11 = 11;

std::uint32_t statusOf(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
        return headersTooLarge;
    if (error == http::error::body_limit)
        return payloadTooLarge;
    return badRequest;
}

} // namespace

RequestPipeline::RequestPipeline(Handlers host)
    : handlers_(std::move(host))
{
    restartParser();
}

void RequestPipeline::restartParser()
{
    auto limits = handlers_.limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser_->body_limit(limits.bodyBytes);
    hasSeenHeader_ = false;
}

void RequestPipeline::receive(std::string_view bytes)
{
    if (hasEnded_)
        return;
    auto room = input_.prepare(bytes.size());
    input_.commit(boost::asio::buffer_copy(room, boost::asio::buffer(bytes.data(), bytes.size())));
    parse();
}

// A caller that does not read its answers gets no further work done.
bool RequestPipeline::isBlocked() const
{
    return isReadingDone_ || waiting_ || open_.size() >= maximumOpenRequests || output_.size() > maximumUnreadBytes;
}

bool RequestPipeline::wantsInput() const
{
    return !hasEnded_ && (!isBlocked() || input_.size() < maximumUnreadBytes);
}

ReadPhase RequestPipeline::phase() const
{
    if (hasSeenHeader_)
        return ReadPhase::Body;
    bool hasBegun = input_.size() > 0 && !isBlocked();
    return hasBegun ? ReadPhase::Header : ReadPhase::Idle;
}

void RequestPipeline::parse()
{
    while (!isBlocked() && input_.size() > 0) {
        if (!parseSome())
            return;
    }
}

// False if more bytes are needed.
bool RequestPipeline::parseSome()
{
    boost::system::error_code error;
    auto used = parser_->put(input_.data(), error);
    input_.consume(used);
    bool needsMore = error == http::error::need_more;
    if (error && !needsMore) {
        reject(statusOf(error));
        return true;
    }
    if (parser_->is_header_done() && !hasSeenHeader_) {
        hasSeenHeader_ = true;
        auto fault = headerFault();
        if (fault != 0) {
            reject(fault);
            return true;
        }
        onHeader();
    }
    if (needsMore && input_.size() > (hasSeenHeader_ ? maximumFramingBytes : handlers_.limits().headerBytes)) {
        reject(hasSeenHeader_ ? badRequest : headersTooLarge);
        return true;
    }
    if (parser_->is_done())
        complete();
    return !needsMore;
}

void RequestPipeline::onHeader()
{
    if (parser_->is_done() || !equalsIgnoringCase(std::string(parser_->get()[http::field::expect]), "100-continue"))
        return;
    isContinueDue_ = true;
    flush();
}

// Lengths that two readers could understand in two ways are refused: what follows could be taken for another request.
std::uint32_t RequestPipeline::headerFault() const
{
    const auto& message = parser_->get();
    auto encodings = message.equal_range(http::field::transfer_encoding);
    bool isEncoded = encodings.first != encodings.second;
    if (isEncoded && !equalsIgnoringCase(std::string(message[http::field::transfer_encoding]), "chunked"))
        return badRequest;
    if (isEncoded && message.version() != http11)
        return badRequest;
    auto hosts = message.equal_range(http::field::host);
    if (hosts.first == hosts.second || std::next(hosts.first) != hosts.second)
        return badRequest;
    auto target = message.target();
    if (target.empty() || target.front() != '/')
        return badRequest;
    return 0;
}

void RequestPipeline::complete()
{
    assert(!waiting_ && "a request waits already");
    auto message = parser_->release();
    isWaitingLast_ = !message.keep_alive();
    waiting_.emplace();
    waiting_->request.method = std::string(message.method_string());
    waiting_->request.target = std::string(message.target());
    waiting_->request.host = std::string(message[http::field::host]);
    waiting_->request.body = std::move(message.body());
    waiting_->fields = std::move(message.base());
    isContinueDue_ = false;
    restartParser();
}

std::optional<RequestPipeline::NumberedRequest> RequestPipeline::takeNext()
{
    parse();
    if (!waiting_ || hasEnded_)
        return std::nullopt;
    bool canRunConcurrently = handlers_.canRunConcurrently(*waiting_);
    bool mayStart = open_.empty() || (canRunConcurrently && std::ranges::all_of(open_, &Open::canRunConcurrently));
    if (!mayStart)
        return std::nullopt;
    Open open;
    open.number = nextNumber_++;
    open.canRunConcurrently = canRunConcurrently;
    open.isHead = waiting_->request.method == "HEAD";
    open.isLast = isWaitingLast_;
    isReadingDone_ = isReadingDone_ || open.isLast;
    open_.push_back(std::move(open));
    NumberedRequest taken{open_.back().number, std::move(*waiting_)};
    waiting_.reset();
    return taken;
}

void RequestPipeline::respond(RequestNumber number, ServerResponse respond, bool isClosing)
{
    // What has been read is still answered.
    isClosing_ = isClosing_ || isClosing;
    isReadingDone_ = isReadingDone_ || isClosing;
    auto open = std::ranges::find(open_, number, &Open::number);
    if (open == open_.end() || open->respond)
        return;
    open->respond = std::move(respond);
    flush();
}

// What came before it is answered first.
void RequestPipeline::reject(std::uint32_t status)
{
    isReadingDone_ = true;
    hasSeenHeader_ = false;
    isContinueDue_ = false;
    Open open;
    open.number = nextNumber_++;
    open.isLast = true;
    open.respond = ServerResponse{status, {}, {}};
    open_.push_back(std::move(open));
    flush();
}

void RequestPipeline::flush()
{
    while (!open_.empty() && open_.front().respond) {
        auto open = std::move(open_.front());
        open_.pop_front();
        bool isLast = open.isLast || (isClosing_ && open_.empty() && !waiting_);
        output_ += serializeResponse(*open.respond, isLast, open.isHead);
        if (!isLast)
            continue;
        hasEnded_ = true;
        isReadingDone_ = true;
        input_.clear();
        return;
    }
    if (open_.empty() && isContinueDue_) {
        isContinueDue_ = false;
        output_ += "HTTP/1.1 100 Continue\r\n\r\n";
    }
}

std::string RequestPipeline::takeOutput()
{
    std::string output;
    output.swap(output_);
    return output;
}

} // namespace balsamreel::Relay
