#include "balsamreel/Relay/RequestPipeline.h"

#include "balsamreel/Relay/HttpText.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace balsamreel::Relay {

namespace {

namespace http = boost::beast::http;

// Per connection, so that one connection can't use up the node's memory or all slots of a service.
constexpr std::size_t maximumOpenRequests = 16;
// Limits on the responses that a caller may leave unread and on the input that it may send ahead, before the node stops reading
// from it.
constexpr std::size_t maximumUnreadBytes = 64 * 1024;
constexpr std::size_t maximumWaitingInput = 16 * 1024;
// An empty input buffer above this size is freed.
constexpr std::size_t maximumIdleInputBytes = 8 * 1024;
// Output is returned in pieces of about this size.
constexpr std::size_t outputPieceBytes = 64 * 1024;
// The headers of a request are held by the call, by its attempt, and by the head that is sent to the server.
constexpr std::size_t headerCopies = 3;
constexpr std::size_t fieldOverheadBytes = 64;
// Limit on a chunk header line of a chunked body, and on the trailer fields.
constexpr std::size_t maximumFramingBytes = 16 * 1024;
constexpr std::uint32_t badRequest = 400;
constexpr std::uint32_t payloadTooLarge = 413;
constexpr std::uint32_t headersTooLarge = 431;
constexpr std::uint32_t serviceUnavailable = 503;
constexpr std::string_view retryAfterRefusedBody = "1"; // seconds
constexpr unsigned http11 = 11;

std::uint32_t statusOf(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
        return headersTooLarge;
    if (error == http::error::body_limit)
        return payloadTooLarge;
    if (error == boost::system::errc::not_enough_memory)
        return serviceUnavailable;
    return badRequest;
}

std::size_t headerBytes(const http::fields& fields, std::size_t targetBytes)
{
    auto bytes = targetBytes;
    for (const auto& field : fields)
        bytes += fieldOverheadBytes + field.name_string().size() + field.value().size();
    return headerCopies * bytes;
}

} // namespace

RequestPipeline::RequestPipeline(Handlers handlers)
    : handlers_(std::move(handlers))
    , inputMemory_(handlers_.memory)
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
    if (handlers_.memory)
        parser_->get().body() = BodyReceiver(handlers_.memory, [this] { onBodyRefused(); });
    hasSeenHeader_ = false;
}

void RequestPipeline::receive(std::string_view bytes)
{
    if (hasEnded_)
        return;
    // Grows in one step; the blocks of several steps would stay behind in the allocator.
    if (input_.size() + bytes.size() > std::max(input_.capacity(), maximumIdleInputBytes))
        input_.reserve(inputLimit() + bytes.size());
    auto buffer = input_.prepare(bytes.size());
    input_.commit(boost::asio::buffer_copy(buffer, boost::asio::buffer(bytes.data(), bytes.size())));
    parse();
    if (chargeInput())
        return;
    dropInput();
    if (!isReadingDone_)
        reject(serviceUnavailable);
}

void RequestPipeline::dropInput()
{
    input_ = {};
    inputMemory_.resize(0);
}

// How much input can become before more is refused, or is no longer read.
std::size_t RequestPipeline::inputLimit() const
{
    if (isBlocked())
        return maximumWaitingInput;
    return hasSeenHeader_ ? maximumFramingBytes : handlers_.limits().headerBytes;
}

// Input that has been parsed takes no memory. The rest waits for more of a header, or for responses to earlier requests.
bool RequestPipeline::chargeInput()
{
    if (input_.size() == 0 && input_.capacity() > maximumIdleInputBytes)
        input_.shrink_to_fit();
    return inputMemory_.tryResize(input_.size() > 0 ? input_.capacity() : 0, Support::monotonicNow());
}

// Unread responses count too, so that a caller that does not read them can't cause further work.
bool RequestPipeline::isBlocked() const
{
    return isReadingDone_ || pending_ || open_.size() >= maximumOpenRequests || outputBytes_ > maximumUnreadBytes;
}

bool RequestPipeline::wantsInput() const
{
    return !hasEnded_ && (!isBlocked() || input_.size() < maximumWaitingInput);
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

// Returns false if more input is needed.
bool RequestPipeline::parseSome()
{
    boost::system::error_code error;
    auto consumed = parser_->put(input_.data(), error);
    input_.consume(consumed);
    bool needsMore = error == http::error::need_more;
    if (error && !needsMore) {
        reject(statusOf(error));
        return true;
    }
    if (parser_->is_header_done() && !hasSeenHeader_) {
        hasSeenHeader_ = true;
        auto status = checkHeader();
        if (status != 0) {
            reject(status);
            return true;
        }
        onHeaderComplete();
    }
    if (needsMore && input_.size() > inputLimit()) {
        reject(hasSeenHeader_ ? badRequest : headersTooLarge);
        return true;
    }
    if (parser_->is_done())
        onRequestComplete();
    return !needsMore;
}

void RequestPipeline::onHeaderComplete()
{
    if (parser_->is_done() || !equalsIgnoringCase(std::string(parser_->get()[http::field::expect]), "100-continue"))
        return;
    isContinueDue_ = true;
    writeResponses();
}

// Rejects ambiguous message lengths: two parsers could disagree on where the request ends, and what follows could be taken
// for another request (request smuggling).
std::uint32_t RequestPipeline::checkHeader() const
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

void RequestPipeline::onRequestComplete()
{
    assert(!pending_ && "a request is already pending");
    auto body = parser_->get().body().finish(); // from here on it is not dropped to make room for the headers
    auto memory = std::make_shared<MemoryReservation>(handlers_.memory);
    if (!memory->tryResize(headerBytes(parser_->get(), parser_->get().target().size()), Support::monotonicNow()))
        return reject(serviceUnavailable);
    auto message = parser_->release();
    isPendingLast_ = !message.keep_alive();
    pending_.emplace();
    pending_->request.method = std::string(message.method_string());
    pending_->request.target = std::string(message.target());
    pending_->request.host = std::string(message[http::field::host]);
    pending_->request.body = std::move(body);
    pending_->request.headerMemory = std::move(memory);
    pending_->fields = std::move(message.base());
    isContinueDue_ = false;
    restartParser();
}

std::optional<RequestPipeline::NumberedRequest> RequestPipeline::takeNext()
{
    parse();
    if (!pending_ || hasEnded_)
        return std::nullopt;
    bool canRunConcurrently = handlers_.canRunConcurrently(*pending_);
    bool mayStart = open_.empty() || (canRunConcurrently && std::ranges::all_of(open_, &OpenRequest::canRunConcurrently));
    if (!mayStart)
        return std::nullopt;
    OpenRequest open;
    open.number = nextNumber_++;
    open.canRunConcurrently = canRunConcurrently;
    open.isHead = pending_->request.method == "HEAD";
    open.isLast = isPendingLast_;
    isReadingDone_ = isReadingDone_ || open.isLast;
    open_.push_back(std::move(open));
    NumberedRequest next{open_.back().number, std::move(*pending_)};
    pending_.reset();
    return next;
}

void RequestPipeline::respond(RequestNumber number, ServerResponse response, bool isClosing)
{
    // Requests that have been read still get their responses.
    isClosing_ = isClosing_ || isClosing;
    isReadingDone_ = isReadingDone_ || isClosing;
    auto open = std::ranges::find(open_, number, &OpenRequest::number);
    if (open == open_.end() || open->response)
        return;
    open->response = std::move(response);
    writeResponses();
}

// The error response follows the responses to earlier requests.
void RequestPipeline::reject(std::uint32_t status)
{
    isReadingDone_ = true;
    isContinueDue_ = false;
    restartParser(); // drops the body
    OpenRequest open;
    open.number = nextNumber_++;
    open.isLast = true;
    open.response = ServerResponse{status, {}, {}};
    if (status == serviceUnavailable)
        open.response->headers.push_back({"Retry-After", std::string(retryAfterRefusedBody)});
    open_.push_back(std::move(open));
    writeResponses();
}

void RequestPipeline::onBodyRefused()
{
    reject(serviceUnavailable);
    if (handlers_.onBodyRefused)
        handlers_.onBodyRefused();
}

void RequestPipeline::writeResponses()
{
    while (!open_.empty() && open_.front().response) {
        auto open = std::move(open_.front());
        open_.pop_front();
        bool isLast = open.isLast || (isClosing_ && open_.empty() && !pending_);
        auto head = serializeResponseHead(*open.response, isLast, open.isHead);
        addOutput(std::move(head), open.isHead ? Body() : std::move(open.response->body));
        if (!isLast)
            continue;
        hasEnded_ = true;
        isReadingDone_ = true;
        dropInput();
        return;
    }
    if (open_.empty() && isContinueDue_) {
        isContinueDue_ = false;
        addOutput("HTTP/1.1 100 Continue\r\n\r\n", {});
    }
}

void RequestPipeline::addOutput(std::string head, Body body)
{
    outputBytes_ += head.size() + body.size();
    output_.push_back({std::move(head), std::move(body)});
}

void RequestPipeline::dropOutput()
{
    output_.clear();
    outputBytes_ = 0;
    for (auto& open : open_)
        open.response.reset();
}

std::string RequestPipeline::takeOutput()
{
    std::string text;
    while (!output_.empty() && text.size() < outputPieceBytes) {
        auto& first = output_.front();
        takeFrom(first, text);
        if (first.nextSegment == first.body.segments().size())
            output_.pop_front();
    }
    outputBytes_ -= text.size();
    return text;
}

void RequestPipeline::takeFrom(Output& output, std::string& text)
{
    if (!std::exchange(output.isHeadTaken, true))
        text += output.head;
    const auto& segments = output.body.segments();
    while (output.nextSegment < segments.size() && text.size() < outputPieceBytes)
        text += segments[output.nextSegment++];
}

} // namespace balsamreel::Relay
