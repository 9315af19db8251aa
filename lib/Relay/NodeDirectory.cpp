#include "balsamreel/Relay/NodeDirectory.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration removalTimeout = std::chrono::milliseconds(600);
constexpr Duration firstRetry = std::chrono::milliseconds(200);
constexpr Duration longestRetry = std::chrono::milliseconds(1600);
constexpr unsigned maximumDoublings = 3;
// Greetings tell of new nodes at once; a listing only repairs what they missed.
constexpr Duration listingInterval = std::chrono::seconds(20);
// Of the listings until the own entry is seen; the first may show it already.
constexpr Duration firstSettling = std::chrono::milliseconds(250);
constexpr Duration settlingInterval = std::chrono::seconds(1);
// A listing that still lacks the entry after so many is right: somebody has removed it.
constexpr unsigned maximumUnseen = 8;
constexpr std::uint32_t notFound = 404;
constexpr std::uint32_t conflict = 409;

bool isSuccess(std::uint32_t status)
{
    return status >= 200 && status < 300;
}

} // namespace

NodeDirectory::NodeDirectory(Loop& loop, StoreCalls& calls, const StoreCodec& codec, std::string name, std::string content, std::uint64_t seed, EventLog& log, Handlers handlers)
    : calls_(calls)
    , codec_(codec)
    , name_(std::move(name))
    , content_(std::move(content))
    , random_(seed)
    , log_(log)
    , handlers_(std::move(handlers))
    , timer_(loop)
{
}

void NodeDirectory::later(Duration delay, std::function<void()> action)
{
    // Nodes that start together don't go on calling together.
    delay += Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) * random_.fraction() / 2));
    timer_.expires_after(delay);
    timer_.async_wait([action = std::move(action)](const boost::system::error_code& cancelled) {
        if (!cancelled)
            action();
    });
}

// Counts failures, logs when the store is lost or back, and has the call made again after a failure.
bool NodeDirectory::noteReply(const StoreReply& reply, bool isGood, std::function<void()> again)
{
    if (isGood) {
        if (failures_ > 0)
            log_.line(LogClass::Notable, "store-regained", "collection=nodes failures={}", failures_);
        failures_ = 0;
        return true;
    }
    if (failures_ == 0)
        log_.line(LogClass::Notable, "store-lost", "collection=nodes status={} bytes={}", reply.status, reply.body.size());
    auto delay = std::min(longestRetry, firstRetry * (1U << std::min(failures_, maximumDoublings)));
    ++failures_;
    later(delay, std::move(again));
    return false;
}

void NodeDirectory::list(const std::string& after)
{
    if (after.empty())
        listed_.clear();
    calls_.call(codec_.list(Collection::Nodes, after, true), callTimeout, [this](const StoreReply& reply) { onPage(reply); });
}

void NodeDirectory::onPage(const StoreReply& reply)
{
    auto page = isSuccess(reply.status) ? codec_.readListing(reply.body) : std::nullopt;
    if (!noteReply(reply, page.has_value(), [this] { list({}); }))
        return;
    listed_.insert(listed_.end(), page->objects.begin(), page->objects.end());
    if (page->isTruncated && !page->objects.empty())
        return list(page->objects.back().name);
    onListed();
}

void NodeDirectory::onListed()
{
    hasListed_ = true;
    handlers_.onListing(listed_);
    if (isRemoved_)
        return;
    auto own = std::ranges::find(listed_, name_, &StoredObject::name);
    if (own == listed_.end())
        return hasAnnounced_ ? settle() : announce();
    bool isCurrent = own->content == content_;
    unseen_ = 0;
    hasAnnounced_ = true;
    hasSeenOwn_ = true;
    if (!hasRestoredState_)
        return readOwn();
    // A stale listing may show what was there before the last write.
    if (!isCurrent)
        write();
    later(listingInterval, [this] { list({}); });
}

// The entry was written; listings may lag behind.
void NodeDirectory::settle()
{
    if (++unseen_ > maximumUnseen) {
        unseen_ = 0;
        return announce();
    }
    later(settlingInterval, [this] { list({}); });
}

void NodeDirectory::announce()
{
    calls_.call(codec_.create(Collection::Nodes, name_, content_), callTimeout, [this](const StoreReply& reply) { onAnnounced(reply); });
}

// A conflict tells that there is an entry, which holds the notes of an earlier process.
void NodeDirectory::onAnnounced(const StoreReply& reply)
{
    bool isGood = isSuccess(reply.status) || reply.status == conflict;
    if (!noteReply(reply, isGood, [this] { announce(); }))
        return;
    hasAnnounced_ = true;
    if (reply.status == conflict && !hasRestoredState_)
        return readOwn();
    if (!hasRestoredState_)
        recalled(std::nullopt);
    later(firstSettling, [this] { list({}); });
}

void NodeDirectory::readOwn()
{
    calls_.call(codec_.get(Collection::Nodes, name_), callTimeout, [this](const StoreReply& reply) { onOwnRead(reply); });
}

void NodeDirectory::onOwnRead(const StoreReply& reply)
{
    auto object = isSuccess(reply.status) ? codec_.readObject(reply.body) : std::nullopt;
    if (!noteReply(reply, object.has_value() || reply.status == notFound, [this] { readOwn(); }))
        return;
    if (!object)
        return announce();
    // Written again only if the owner then asks for something else.
    content_ = object->content;
    recalled(content_);
    later(hasSeenOwn_ ? listingInterval : settlingInterval, [this] { list({}); });
}

void NodeDirectory::recalled(const std::optional<std::string>& content)
{
    hasRestoredState_ = true;
    handlers_.onOwnEntry(content);
}

void NodeDirectory::setContent(std::string content)
{
    if (content == content_)
        return;
    content_ = std::move(content);
    if (hasRestoredState_ && !isRemoved_)
        write();
}

// Nobody else writes this entry, so it is written whatever its revision. A write that fails, or that comes late and undoes a
// newer one, is found by the next listing.
void NodeDirectory::write()
{
    log_.line(LogClass::Notable, "entry-write", "content={}", content_);
    calls_.call(codec_.replace(Collection::Nodes, name_, content_), callTimeout, [this](const StoreReply& reply) {
        if (!isSuccess(reply.status))
            log_.line(LogClass::Notable, "entry-write-failed", "status={} bytes={}", reply.status, reply.body.size());
    });
}

void NodeDirectory::remove()
{
    isRemoved_ = true;
    timer_.cancel();
    calls_.call(codec_.remove(Collection::Nodes, name_), removalTimeout, [this](const StoreReply& reply) {
        log_.line(LogClass::Notable, "entry-removed", "status={}", reply.status);
    });
}

} // namespace balsamreel::Relay
