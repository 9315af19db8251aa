#include "balsamreel/Relay/Body.h"

#include <algorithm>
#include <utility>

namespace balsamreel::Relay {

namespace {

using Support::Duration;
using Support::Instant;

// Larger bodies can't use the reserve.
constexpr std::size_t smallBodyBytes = 64 * 1024;
// Share of the budget that is kept for small bodies.
constexpr std::size_t reserveDivisor = 16;
// A body that arrives without pause is not dropped for another one.
constexpr Duration minimumStall = std::chrono::milliseconds(500);

} // namespace

Body::Body(std::string text)
{
    if (text.empty())
        return;
    content_ = std::make_shared<Content>();
    content_->size = text.size();
    content_->segments.push_back(std::move(text));
}

Body::Content::~Content()
{
    if (budget)
        budget->giveBack(size);
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

BodyReceiver::BodyReceiver(std::shared_ptr<BodyBudget> budget, std::function<void()> onRefused)
    : budget_(std::move(budget))
    , onRefused_(std::move(onRefused))
{
}

BodyReceiver::Incomplete::~Incomplete()
{
    if (content && content->budget)
        content->budget->remove(*this);
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
    incomplete_->progressAt = now;
    if (budget_)
        budget_->add(*incomplete_);
    return *incomplete_;
}

std::size_t BodyReceiver::size() const
{
    return incomplete_ ? incomplete_->content->size : 0;
}

bool BodyReceiver::append(std::string_view bytes, Instant now)
{
    auto& body = incomplete(now);
    if (budget_ && !budget_->tryTake(body, bytes.size(), now))
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
        segment.append(bytes.substr(0, count));
        bytes.remove_prefix(count);
    }
    if (budget_)
        budget_->onProgress(body, now);
    return true;
}

Body BodyReceiver::finish()
{
    Body body;
    if (!incomplete_)
        return body;
    if (budget_)
        budget_->remove(*incomplete_);
    body.content_ = std::move(incomplete_->content);
    incomplete_.reset();
    return body;
}

BodyBudget::BodyBudget(std::size_t limit)
    : limit_(limit)
    , smallBodyReserve_(limit / reserveDivisor)
{
}

void BodyBudget::add(Incomplete& body)
{
    body.position = incomplete_.insert(incomplete_.end(), &body);
}

void BodyBudget::remove(const Incomplete& body)
{
    incomplete_.erase(body.position);
}

bool BodyBudget::tryTake(const Incomplete& requester, std::size_t bytes, Instant now)
{
    bool isSmall = requester.content->size + bytes <= smallBodyBytes;
    auto limit = isSmall ? limit_ : limit_ - smallBodyReserve_;
    while (heldBytes_ + bytes > limit) {
        auto* stalled = findStalled(requester, isSmall, now);
        if (!stalled) {
            ++refusedCount_;
            return false;
        }
        refuse(*stalled, now);
    }
    heldBytes_ += bytes;
    return true;
}

// Bytes that trickle in are no progress until they fill a segment.
void BodyBudget::onProgress(Incomplete& body, Instant now)
{
    if (body.content->size - body.progressBytes < bodySegmentBytes)
        return;
    body.progressBytes = body.content->size;
    body.progressAt = now;
    incomplete_.splice(incomplete_.end(), incomplete_, body.position);
}

// Small bodies are dropped for other small ones only, and after all larger ones.
BodyBudget::Incomplete* BodyBudget::findStalled(const Incomplete& requester, bool includesSmall, Instant now) const
{
    Incomplete* small = nullptr;
    for (auto* body : incomplete_) {
        if (now - body->progressAt < minimumStall)
            break;
        if (body == &requester)
            continue;
        if (body->content->size > smallBodyBytes)
            return body;
        small = small ? small : body;
    }
    return includesSmall ? small : nullptr;
}

// The owner drops the body within the callback; its bytes must be free afterwards even if it does not.
void BodyBudget::refuse(Incomplete& body, Instant now)
{
    ++refusedCount_;
    auto onRefused = std::move(body.onRefused);
    body.content->segments.clear();
    giveBack(std::exchange(body.content->size, 0));
    body.progressAt = now;
    incomplete_.splice(incomplete_.end(), incomplete_, body.position);
    if (onRefused)
        onRefused();
}

} // namespace balsamreel::Relay
