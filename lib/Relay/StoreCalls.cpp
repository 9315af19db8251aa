#include "balsamreel/Relay/StoreCalls.h"

#include "balsamreel/Relay/HttpText.h"

namespace balsamreel::Relay {

StoreCalls::StoreCalls(Loop& loop, Support::Endpoint store)
    : loop_(loop)
    , store_(std::move(store))
{
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
    auto shared = std::make_shared<Done>(std::move(done));
    timer->async_wait([connection, shared, this](const boost::system::error_code& cancelled) {
        if (cancelled || isClosed_ || !*shared)
            return;
        // What comes later on this connection would belong to this call.
        connection->close();
        auto callback = std::move(*shared);
        *shared = nullptr;
        callback({});
    });
    Request request;
    request.method = call.method;
    request.target = call.target;
    request.host = store_.text();
    request.body = call.body;
    if (!call.body.empty())
        request.headers.push_back({"Content-Type", "application/json"});
    std::weak_ptr<HttpClientConnection> weak = connection; // it owns the callback
    connection->exchange(serializeRequest(request, {}), {}, false, [this, weak, timer, shared](HttpResult result) {
        timer->cancel();
        auto connection = weak.lock();
        if (isClosed_ || !*shared)
            return;
        if (connection && connection->isReusable(Support::monotonicNow()))
            idle_.push_back(connection);
        StoreReply reply;
        if (auto* whole = std::get_if<HttpResponse>(&result))
            reply = {whole->status, std::move(whole->body)};
        auto callback = std::move(*shared);
        *shared = nullptr;
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
