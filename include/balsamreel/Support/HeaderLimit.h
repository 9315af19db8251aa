// Limits the bytes that a server on POCO Net reads for the header of a request.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>

namespace balsamreel::Support {

/// A listening socket whose connections end when a header exceeds the limit. POCO limits only the number of the fields and the
/// length of each, which together allow 800 KiB.
class HeaderLimitedServerSocket : public Poco::Net::ServerSocket {
public:
    /// The limit includes what a connection reads ahead of the body, in bytes.
    explicit HeaderLimitedServerSocket(std::size_t maximumHeaderBytes);
};

/// Ends the limit on a connection of such a socket: the header is complete.
void allowBody(Poco::Net::StreamSocket&);

/// Starts the limit again: the next header follows.
void expectHeader(Poco::Net::StreamSocket&);

} // namespace balsamreel::Support
