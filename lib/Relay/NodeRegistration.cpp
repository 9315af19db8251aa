#include "balsamreel/Relay/NodeRegistration.h"

namespace balsamreel::Relay {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration removalTimeout = std::chrono::milliseconds(600);
constexpr Duration retryDelay = std::chrono::milliseconds(700);
constexpr std::uint32_t conflict = 409;
constexpr std::uint32_t notFound = 404;

bool isSuccess(std::uint32_t status)
{
    return status >= 200 && status < 300;
}

} // namespace

NodeRegistration::NodeRegistration(Loop& loop, StoreCalls& calls, const StoreCodec& codec, std::string name, std::string content, EventLog& log)
    : calls_(calls)
    , codec_(codec)
    , name_(std::move(name))
    , content_(std::move(content))
    , log_(log)
    , timer_(loop)
{
}

void NodeRegistration::onListing(const std::vector<StoredObject>& objects)
{
    stored_.reset();
    for (const auto& object : objects) {
        if (object.name == name_)
            stored_ = object;
    }
    write();
}

void NodeRegistration::onChange(const StoredObject& object)
{
    if (object.name != name_)
        return;
    stored_ = object;
    if (object.isDeleted)
        stored_.reset();
    write();
}

void NodeRegistration::write()
{
    if (isWriting_ || isRemoved_ || (stored_ && stored_->content == content_))
        return;
    isWriting_ = true;
    StoreCall call;
    if (stored_)
        call = codec_.replace(Collection::Nodes, {name_, stored_->revision, content_, false});
    else
        call = codec_.create(Collection::Nodes, name_, content_);
    calls_.call(call, callTimeout, [this](const StoreReply& reply) { onWritten(reply); });
}

// A conflict means that the entry is not as it was thought to be; the watch tells how it is.
void NodeRegistration::onWritten(const StoreReply& reply)
{
    isWriting_ = false;
    if (isSuccess(reply.status) || reply.status == conflict || reply.status == notFound)
        return;
    log_.line(LogClass::Notable, "registration-failed", "status={}", reply.status);
    timer_.expires_after(retryDelay);
    timer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            write();
    });
}

void NodeRegistration::remove(std::function<void()> done)
{
    isRemoved_ = true;
    if (!stored_)
        return done();
    calls_.call(codec_.remove(Collection::Nodes, *stored_), removalTimeout, [done = std::move(done)](const StoreReply&) { done(); });
}

} // namespace balsamreel::Relay
