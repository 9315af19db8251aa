#include "balsamreel/Relay/StoreFollower.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
// If the response to a watch is lost, the node sees no change until the watch times out. The watches of different nodes end
// at different times, and the first node that sees a change announces it to the others.
constexpr Duration maximumWatchTime = std::chrono::seconds(10);
constexpr Duration watchTimeoutMargin = std::chrono::milliseconds(1500);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(250);
constexpr Duration maximumRetryDelay = std::chrono::milliseconds(1000);
constexpr unsigned maximumDoublings = 2;
constexpr std::uint32_t httpOk = 200;
constexpr std::uint32_t httpGone = 410;

} // namespace

StoreFollower::StoreFollower(Loop& loop, StoreCalls& calls, const StoreCodec& codec, Collection collection, Duration pause, std::uint64_t seed, EventLog& log, Handlers handlers)
    : calls_(calls)
    , codec_(codec)
    , collection_(collection)
    , pause_(pause)
    , random_(seed)
    , log_(log)
    , handlers_(std::move(handlers))
    , timer_(loop)
{
}

void StoreFollower::runAfter(Duration delay, std::function<void()> action)
{
    timer_.expires_after(delay);
    timer_.async_wait([action = std::move(action)](const boost::system::error_code& cancelled) {
        if (!cancelled)
            action();
    });
}

void StoreFollower::poll()
{
    calls_.call(codec_.list(collection_, {}, false), callTimeout, [this](const StoreReply& reply) {
        auto page = reply.status == httpOk ? codec_.readListing(reply.body) : std::nullopt;
        if (!page)
            log_.line(LogClass::Notable, "store-glance-failed", "collection={} status={} bytes={}", Support::nameOf(collectionNames, collection_), reply.status, reply.body.size());
        else if (!page->objects.empty()) {
            // While it follows, the era belongs to the revision that it watches from.
            if (!isRunning_)
                era_ = reply.era;
            handlers_.onListing(page->objects);
        }
    });
}

void StoreFollower::follow(bool isWanted)
{
    if (isWanted == isWanted_)
        return;
    isWanted_ = isWanted;
    log_.line(LogClass::Notable, "store-follow", "collection={} wanted={}", Support::nameOf(collectionNames, collection_), isWanted);
    if (!isWanted_ || isRunning_)
        return;
    isRunning_ = true;
    list({});
}

bool StoreFollower::stopIfUnwanted()
{
    if (isWanted_)
        return false;
    isRunning_ = false;
    hasListed_ = false;
    failures_ = 0;
    return true;
}

void StoreFollower::list(const std::string& after)
{
    if (stopIfUnwanted())
        return;
    if (after.empty())
        listed_.clear();
    calls_.call(codec_.list(collection_, after, false), callTimeout, [this](const StoreReply& reply) { onPage(reply); });
}

void StoreFollower::onPage(const StoreReply& reply)
{
    auto page = reply.status == httpOk ? codec_.readListing(reply.body) : std::nullopt;
    if (!page)
        return onFailure(reply, true);
    onSuccess();
    if (!listed_.empty() && isFromOtherEra(reply))
        return list({});
    // A watch from the first page's revision also returns the changes made while the other pages were read.
    if (listed_.empty()) {
        revision_ = page->revision;
        era_ = reply.era;
    }
    listed_.insert(listed_.end(), page->objects.begin(), page->objects.end());
    if (page->isTruncated && !page->objects.empty())
        return list(page->objects.back().name);
    hasListed_ = true;
    handlers_.onListing(listed_);
    listed_.clear();
    runAfter(pause_, [this] { watch(); });
}

void StoreFollower::watch()
{
    if (stopIfUnwanted())
        return;
    auto wait = maximumWatchTime - Duration(static_cast<Duration::rep>(static_cast<double>(maximumWatchTime.count()) * random_.fraction() / 2));
    calls_.call(codec_.watch(collection_, revision_, wait), wait + watchTimeoutMargin, [this](const StoreReply& reply) { onChanges(reply); });
}

void StoreFollower::onChanges(const StoreReply& reply)
{
    // In another era the revision stands for other changes, or for none yet, so the watch may have missed some.
    if (reply.status == httpGone || isFromOtherEra(reply)) {
        log_.line(LogClass::Notable, "store-history-gone", "collection={} revision={} status={} era={}", Support::nameOf(collectionNames, collection_), revision_, reply.status, reply.era.value_or(0));
        return list({});
    }
    auto changes = reply.status == httpOk ? codec_.readChanges(reply.body) : std::nullopt;
    if (!changes)
        return onFailure(reply, false);
    onSuccess();
    revision_ = std::max(revision_, changes->revision);
    for (const auto& object : changes->objects)
        handlers_.onChange(object);
    if (changes->objects.empty())
        return watch();
    runAfter(pause_, [this] { watch(); });
}

void StoreFollower::onSuccess()
{
    if (failures_ > 0)
        log_.line(LogClass::Notable, "store-regained", "collection={} failures={}", Support::nameOf(collectionNames, collection_), failures_);
    failures_ = 0;
}

void StoreFollower::onFailure(const StoreReply& reply, bool shouldRelist)
{
    if (failures_ == 0)
        log_.line(LogClass::Notable, "store-lost", "collection={} status={} bytes={}", Support::nameOf(collectionNames, collection_), reply.status, reply.body.size());
    auto delay = std::min(maximumRetryDelay, firstRetryDelay * (1U << std::min(failures_, maximumDoublings)));
    delay += Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) * random_.fraction()));
    ++failures_;
    runAfter(delay, [this, shouldRelist] {
        if (shouldRelist)
            list({});
        else
            watch();
    });
}

} // namespace balsamreel::Relay
