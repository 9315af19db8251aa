#include "balsamreel/Support/HeaderLimit.h"

#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketDefs.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>
#include <optional>
#include <unistd.h>

namespace balsamreel::Support {

namespace {

/// A connection that reads as ended once the header is too long.
class HeaderLimitedSocketImpl : public Poco::Net::StreamSocketImpl {
public:
    HeaderLimitedSocketImpl(poco_socket_t descriptor, std::size_t maximumHeaderBytes)
        : StreamSocketImpl(descriptor)
        , maximumHeaderBytes_(maximumHeaderBytes)
        , bytesLeft_(maximumHeaderBytes)
    {
    }

    using StreamSocketImpl::receiveBytes;

    int receiveBytes(void* buffer, int length, int flags) override
    {
        if (bytesLeft_ == std::size_t(0))
            return 0;
        auto count = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (bytesLeft_ && count > 0)
            *bytesLeft_ -= std::min(*bytesLeft_, static_cast<std::size_t>(count));
        return count;
    }

    void allowBody() { bytesLeft_.reset(); }
    void expectHeader() { bytesLeft_ = maximumHeaderBytes_; }

private:
    std::size_t maximumHeaderBytes_;
    std::optional<std::size_t> bytesLeft_; ///< of the header; nothing while a body is read
};

class HeaderLimitedServerSocketImpl : public Poco::Net::ServerSocketImpl {
public:
    explicit HeaderLimitedServerSocketImpl(std::size_t maximumHeaderBytes)
        : maximumHeaderBytes_(maximumHeaderBytes)
    {
    }

    Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& clientAddress) override
    {
        Poco::Net::StreamSocket accepted(ServerSocketImpl::acceptConnection(clientAddress));
        return new HeaderLimitedSocketImpl(releaseDescriptor(accepted), maximumHeaderBytes_);
    }

private:
    // POCO has no way to take the descriptor from a socket, so it is duplicated and the original closed.
    static poco_socket_t releaseDescriptor(const Poco::Net::StreamSocket& socket) { return ::dup(socket.impl()->sockfd()); }

    std::size_t maximumHeaderBytes_;
};

HeaderLimitedSocketImpl* limitedImpl(Poco::Net::StreamSocket& socket)
{
    return dynamic_cast<HeaderLimitedSocketImpl*>(socket.impl());
}

} // namespace

HeaderLimitedServerSocket::HeaderLimitedServerSocket(std::size_t maximumHeaderBytes)
    : ServerSocket(new HeaderLimitedServerSocketImpl(maximumHeaderBytes), true)
{
}

void allowBody(Poco::Net::StreamSocket& socket)
{
    if (auto* impl = limitedImpl(socket))
        impl->allowBody();
}

void expectHeader(Poco::Net::StreamSocket& socket)
{
    if (auto* impl = limitedImpl(socket))
        impl->expectHeader();
}

} // namespace balsamreel::Support
