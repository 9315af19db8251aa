#include "balsamreel/Relay/StoreCalls.h"

#include "balsamreel/Relay/HttpText.h"
#include "balsamreel/Support/Numbers.h"

namespace balsamreel::Relay {

StoreCalls::StoreCalls(Loop& loop, Support::Endpoint store, std::string eraHeader)
    : loop_(loop)
    , store_(std::move(store))
    , eraHeader_(std::move(eraHeader))
{
}

std::optional<std::uint64_t> StoreCalls::eraOf(const boost::beast::http::fields& fields) const
{
    auto value = fields[boost::beast::string_view(eraHeader_.data(), eraHeader_.size())];
    return Support::parseNumber<std::uint64_t>(std::string_view(value.data(), value.size()));
}

void StoreCalls::recordEra(std::uint64_t era)
{
    if (era <= era_)
        return;
    bool isFirst = era_ == 0;
    era_ = era;
    if (!isFirst && onEraRise)
        onEraRise();
}

void StoreCalls::call(const StoreCall& call, Duration timeout, Done done)
{
    if (isClosed_)
        return;
    ++count_;
    auto now = Support::monotonicNow();
    std::erase_if(idle_, [now](const auto& connection) { return !connection->isReusable(now); });
    std::shared_ptr<HttpClientConnection> connection;
    if (idle_.empty())
        connection = std::make_shared<HttpClientConnection>(loop_, store_);
    else {
        connection = std::move(idle_.back());
        idle_.pop_back();
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, timeout);
    auto sharedDone = std::make_shared<Done>(std::move(done));
    timer->async_wait([connection, sharedDone, this](const boost::system::error_code& cancelled) {
        if (cancelled || isClosed_ || !*sharedDone)
            return;
        // Closed, because a late response on this connection would belong to this call and not to the next one.
        connection->close();
        auto callback = std::move(*sharedDone);
        *sharedDone = nullptr;
        callback({});
    });
    Request request;
    request.method = call.method;
    request.target = call.target;
    request.host = store_.text();
    request.body = call.body;
    if (!call.body.empty())
        request.headers.push_back({"Content-Type", "application/json"});
    std::weak_ptr<HttpClientConnection> weakConnection = connection; // the connection owns the callback
    connection->exchange(serializeRequest(request, {}), {}, false, [this, weakConnection, timer, sharedDone](HttpResult result) {
        timer->cancel();
        auto connection = weakConnection.lock();
        if (isClosed_ || !*sharedDone)
            return;
        if (connection && connection->isReusable(Support::monotonicNow()))
            idle_.push_back(connection);
        StoreReply reply;
        if (auto* response = std::get_if<HttpResponse>(&result))
            reply = {response->status, response->body.text(), eraOf(response->fields)};
        auto callback = std::move(*sharedDone);
        *sharedDone = nullptr;
        recordEra(reply.era.value_or(0));
        callback(std::move(reply));
    });
}

void StoreCalls::close()
{
    isClosed_ = true;
    for (const auto& connection : idle_)
        connection->close();
    idle_.clear();
}

} // namespace balsamreel::Relay
