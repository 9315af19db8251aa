#include "balsamreel/Relay/Body.h"

#include <algorithm>
#include <utility>

namespace balsamreel::Relay {

namespace {

using Support::Instant;

// Larger bodies can't use the reserve.
constexpr std::size_t smallBodyBytes = 64 * 1024;
constexpr std::size_t trimDivisor = 4;

std::string withCapacity(std::string_view text, std::size_t capacity)
{
    std::string copy;
    copy.reserve(capacity);
    copy.append(text);
    return copy;
}

// Most bodies are short and arrive at once, so the first bytes get no room for more. After them a segment gets its full size in
// one step: std::string would take more than a segment.
void appendTo(std::string& segment, std::string_view bytes)
{
    if (segment.size() + bytes.size() > segment.capacity() && !segment.empty())
        segment = withCapacity(segment, bodySegmentBytes);
    segment.append(bytes);
}

// Frees the unused part of a segment if it is more than the budget could ignore.
void trim(std::string& segment)
{
    if (segment.capacity() - segment.size() > segment.size() / trimDivisor)
        segment = withCapacity(segment, segment.size());
}

} // namespace

Body::Body(std::string text)
{
    if (text.empty())
        return;
    content_ = std::make_shared<Content>();
    content_->size = text.size();
    content_->segments.push_back(std::move(text));
}

Body::Body(const char* text)
    : Body(std::string(text))
{
}

void Body::Content::drop()
{
    segments.clear();
    auto bytes = std::exchange(size, 0);
    if (budget)
        budget->giveBack(bytes);
}

std::optional<Body> Body::copyInto(const std::shared_ptr<MemoryBudget>& budget, Instant now) const
{
    BodyReceiver receiver(budget, nullptr);
    for (const auto& segment : segments()) {
        if (!receiver.append(segment, now))
            return std::nullopt;
    }
    return receiver.finish();
}

const std::vector<std::string>& Body::segments() const
{
    static const std::vector<std::string> none;
    return content_ ? content_->segments : none;
}

std::string Body::text() const
{
    std::string text;
    text.reserve(size());
    for (const auto& segment : segments())
        text += segment;
    return text;
}

BodyReceiver::BodyReceiver(std::shared_ptr<MemoryBudget> budget, std::function<void()> onRefused)
    : budget_(std::move(budget))
    , onRefused_(std::move(onRefused))
{
}

// Requests without a body need no registration.
BodyReceiver::Incomplete& BodyReceiver::incomplete(Instant now)
{
    if (incomplete_)
        return *incomplete_;
    incomplete_ = std::make_unique<Incomplete>();
    incomplete_->content = std::make_shared<Body::Content>();
    incomplete_->content->budget = budget_;
    incomplete_->onRefused = std::move(onRefused_);
    if (budget_ && incomplete_->onRefused)
        incomplete_->holder.attach(budget_, now, [body = incomplete_.get()] { refuse(*body); });
    return *incomplete_;
}

std::size_t BodyReceiver::size() const
{
    return incomplete_ ? incomplete_->content->size : 0;
}

bool BodyReceiver::append(std::string_view bytes, Instant now)
{
    auto& body = incomplete(now);
    bool isSmall = body.content->size + bytes.size() <= smallBodyBytes;
    if (budget_ && !budget_->tryTake(bytes.size(), isSmall, now, &body.holder))
        return false;
    auto& segments = body.content->segments;
    body.content->size += bytes.size();
    while (!bytes.empty()) {
        if (segments.empty()) {
            segments.emplace_back();
        } else if (segments.back().size() == bodySegmentBytes) {
            segments.emplace_back();
            segments.back().reserve(bodySegmentBytes);
        }
        auto& segment = segments.back();
        auto count = std::min(bytes.size(), bodySegmentBytes - segment.size());
        appendTo(segment, bytes.substr(0, count));
        bytes.remove_prefix(count);
    }
    body.holder.setSmall(isSmall);
    body.holder.recordProgress(body.content->size, now);
    return true;
}

Body BodyReceiver::finish()
{
    Body body;
    if (!incomplete_)
        return body;
    body.content_ = std::move(incomplete_->content);
    if (!body.empty())
        trim(body.content_->segments.back());
    incomplete_.reset();
    return body;
}

// The owner drops the body within the callback; its bytes must be free afterwards even if it does not.
void BodyReceiver::refuse(Incomplete& body)
{
    body.content->drop();
    auto onRefused = std::exchange(body.onRefused, nullptr);
    if (onRefused)
        onRefused();
}

} // namespace balsamreel::Relay
