#include "balsamreel/Relay/NodeDirectory.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration removalTimeout = std::chrono::milliseconds(600);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maximumRetryDelay = std::chrono::milliseconds(1600);
constexpr unsigned maximumDoublings = 3;
// Handshakes announce new nodes at once; a listing only adds those that they missed.
constexpr Duration listingInterval = std::chrono::seconds(20);
// Delays between the listings until the own record is seen. The first is short, as the record may be visible already.
constexpr Duration firstVisibilityDelay = std::chrono::milliseconds(250);
constexpr Duration visibilityCheckInterval = std::chrono::seconds(1);
// If more listings in a row lack the record, they are not stale: the record has been removed, and is created again.
constexpr unsigned maximumListingsWithoutOwnRecord = 8;
// Spreads the writes of all nodes over a time, as the store limits the rate of their calls.
constexpr Duration rewriteSpread = std::chrono::seconds(8);
// Nodes that cannot reach the store at first write their records again later than the others.
constexpr Duration rewriteTime = std::chrono::seconds(60);
constexpr std::uint32_t httpNotFound = 404;
constexpr std::uint32_t httpConflict = 409;

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
    , rewriteTimer_(loop)
{
}

void NodeDirectory::runAfter(Duration delay, std::function<void()> action)
{
    // Jitter keeps nodes that start together from calling the store at the same times.
    delay += Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) * random_.fraction() / 2));
    timer_.expires_after(delay);
    timer_.async_wait([action = std::move(action)](const boost::system::error_code& cancelled) {
        if (!cancelled)
            action();
    });
}

// Counts failures, logs when the store is lost or regained, and schedules a retry after a failure. Returns isExpected.
bool NodeDirectory::checkReply(const StoreReply& reply, bool isExpected, std::function<void()> retry)
{
    if (isExpected) {
        if (failures_ > 0)
            log_.line(LogClass::Notable, "store-regained", "collection=nodes failures={}", failures_);
        failures_ = 0;
        return true;
    }
    if (failures_ == 0)
        log_.line(LogClass::Notable, "store-lost", "collection=nodes status={} bytes={}", reply.status, reply.body.size());
    auto delay = std::min(maximumRetryDelay, firstRetryDelay * (1U << std::min(failures_, maximumDoublings)));
    ++failures_;
    runAfter(delay, std::move(retry));
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
    auto page = isSuccess(reply.status) && !calls_.isOutdated(reply) ? codec_.readListing(reply.body) : std::nullopt;
    if (!checkReply(reply, page.has_value(), [this] { list({}); }))
        return;
    listed_.insert(listed_.end(), page->objects.begin(), page->objects.end());
    if (page->isTruncated && !page->objects.empty())
        return list(page->objects.back().name);
    onListed();
}

void NodeDirectory::onListed()
{
    hasListed_ = true;
    bool isComplete = restoredAt_ == Instant() || Support::monotonicNow() - restoredAt_ >= rewriteTime;
    handlers_.onListing(listed_, isComplete);
    if (isRemoved_)
        return;
    if (isRewriting_ && hasSeenOwnRecord_)
        return runAfter(listingInterval, [this] { list({}); });
    auto own = std::ranges::find(listed_, name_, &StoredObject::name);
    if (own == listed_.end())
        return hasCreatedOwnRecord_ ? awaitOwnRecord() : createOwnRecord();
    bool isCurrent = own->content == content_;
    listingsWithoutOwnRecord_ = 0;
    hasCreatedOwnRecord_ = true;
    hasSeenOwnRecord_ = true;
    if (!hasReadOwnRecord_)
        return readOwnRecord();
    // The listing may be stale and predate the last write; then this writes the same content again.
    if (!isCurrent)
        write();
    runAfter(listingInterval, [this] { list({}); });
}

// The record has been created, but listings may be stale and still lack it.
void NodeDirectory::awaitOwnRecord()
{
    if (++listingsWithoutOwnRecord_ > maximumListingsWithoutOwnRecord) {
        listingsWithoutOwnRecord_ = 0;
        return createOwnRecord();
    }
    runAfter(visibilityCheckInterval, [this] { list({}); });
}

void NodeDirectory::createOwnRecord()
{
    calls_.call(codec_.create(Collection::Nodes, name_, content_), callTimeout, [this](const StoreReply& reply) { onOwnRecordCreated(reply); });
}

// A conflict means that a record exists, which holds the server state that an earlier process persisted.
void NodeDirectory::onOwnRecordCreated(const StoreReply& reply)
{
    bool isExpected = isSuccess(reply.status) || reply.status == httpConflict;
    if (!checkReply(reply, isExpected, [this] { createOwnRecord(); }))
        return;
    hasCreatedOwnRecord_ = true;
    if (reply.status == httpConflict && !hasReadOwnRecord_)
        return readOwnRecord();
    if (!hasReadOwnRecord_)
        reportOwnRecord(std::nullopt);
    runAfter(firstVisibilityDelay, [this] { list({}); });
}

void NodeDirectory::readOwnRecord()
{
    calls_.call(codec_.get(Collection::Nodes, name_), callTimeout, [this](const StoreReply& reply) { onOwnRecordRead(reply); });
}

void NodeDirectory::onOwnRecordRead(const StoreReply& reply)
{
    auto object = isSuccess(reply.status) ? codec_.readObject(reply.body) : std::nullopt;
    if (!checkReply(reply, object.has_value() || reply.status == httpNotFound, [this] { readOwnRecord(); }))
        return;
    if (!object)
        return createOwnRecord();
    // The record is written again only if onOwnRecord then sets a different content.
    content_ = object->content;
    reportOwnRecord(content_);
    runAfter(hasSeenOwnRecord_ ? listingInterval : visibilityCheckInterval, [this] { list({}); });
}

void NodeDirectory::reportOwnRecord(const std::optional<std::string>& content)
{
    hasReadOwnRecord_ = true;
    handlers_.onOwnRecord(content);
}

void NodeDirectory::setContent(std::string content)
{
    if (content == content_)
        return;
    content_ = std::move(content);
    if (hasReadOwnRecord_ && !isRemoved_)
        write();
}

// Only this node writes its record, so the write does not check the revision. If a write fails, or arrives late and
// overwrites a newer one, the next listing shows the difference.
void NodeDirectory::write()
{
    log_.line(LogClass::Notable, "entry-write", "content={}", content_);
    calls_.call(codec_.replace(Collection::Nodes, name_, content_), callTimeout, [this](const StoreReply& reply) {
        if (!isSuccess(reply.status))
            log_.line(LogClass::Notable, "entry-write-failed", "status={} bytes={}", reply.status, reply.body.size());
    });
}

// Listings may be stale and show the record as it was before the loss, so they cannot tell whether it has to be written.
void NodeDirectory::onStoreRestored()
{
    restoredAt_ = Support::monotonicNow();
    // Until the record has been read, the calls of the start create it or read what is left.
    if (!hasReadOwnRecord_ || isRemoved_)
        return;
    isRewriting_ = true;
    scheduleRewrite(Duration(static_cast<Duration::rep>(static_cast<double>(rewriteSpread.count()) * random_.fraction())));
}

void NodeDirectory::scheduleRewrite(Duration delay)
{
    rewriteTimer_.expires_after(delay);
    rewriteTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            rewrite();
    });
}

// Mostly the older copy still has the record, and replacing it by the same content changes nothing.
void NodeDirectory::rewrite()
{
    calls_.call(codec_.replace(Collection::Nodes, name_, content_), callTimeout, [this](const StoreReply& reply) {
        if (reply.status != httpNotFound)
            return onRewritten(reply);
        calls_.call(codec_.create(Collection::Nodes, name_, content_), callTimeout, [this](const StoreReply& created) { onRewritten(created); });
    });
}

void NodeDirectory::onRewritten(const StoreReply& reply)
{
    if (isRemoved_)
        return;
    bool isWritten = isSuccess(reply.status) && !calls_.isOutdated(reply);
    log_.line(LogClass::Notable, isWritten ? "entry-rewritten" : "entry-write-failed", "status={} bytes={}", reply.status, reply.body.size());
    if (!isWritten)
        return scheduleRewrite(maximumRetryDelay + Duration(static_cast<Duration::rep>(static_cast<double>(maximumRetryDelay.count()) * random_.fraction())));
    isRewriting_ = false;
}

void NodeDirectory::remove()
{
    isRemoved_ = true;
    timer_.cancel();
    rewriteTimer_.cancel();
    calls_.call(codec_.remove(Collection::Nodes, name_), removalTimeout, [this](const StoreReply& reply) {
        log_.line(LogClass::Notable, "entry-removed", "status={}", reply.status);
    });
}

} // namespace balsamreel::Relay
