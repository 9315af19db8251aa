// Responses that a connection to a node or server must not take for complete and valid.
#include "balsamreel/Node/Exchange.h"

#include "../Support/RawServer.h"

#include <gtest/gtest.h>

namespace balsamreel::Node {
namespace {

using Support::Ending;

// The status and body of a complete response, as "200 body"; empty if the response is not accepted.
std::string fetch(const std::string& bytes, Ending ending = Ending::Close, std::size_t bodyBytes = 0)
{
    Support::RawServer server(bytes, ending);
    Session session(server.endpoint().host, server.endpoint().port);
    session.setTimeout(Poco::Timespan(2, 0));
    try {
        Poco::Net::HTTPRequest request("POST", "/x", "HTTP/1.1");
        request.setContentLength64(static_cast<Poco::Int64>(bodyBytes));
        session.sendRequest(request) << std::string(bodyBytes, 'b');
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        std::string body;
        bool hasBody = Support::responseHasBody("POST", response.getStatus());
        auto error = session.readBody(response, hasBody, [&](const char* data, std::size_t size) {
            body.append(data, size);
            return true;
        });
        return error ? "" : std::to_string(static_cast<int>(response.getStatus())) + " " + body;
    } catch (const Poco::Exception&) {
        return "";
    }
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST(Session, AcceptsValidResponses)
{
    EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), "200 body");
    EXPECT_EQ(fetch("HTTP/1.1 511 Odd\r\nX-Tab: a\tb\r\nContent-Length: 0\r\n\r\n"), "511 ");
    EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\n\r\nbody"), "200 body");
    EXPECT_EQ(fetch(chunkedHead + "00000000000000004;a=b\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n"), "200 body");
}

TEST(Session, SkipsInterimResponses)
{
    EXPECT_EQ(fetch("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), "200 body");
}

TEST(Session, RejectsStatusesThatAreNoFinalResponse)
{
    for (const auto* status : {"000", "042", "099", "101", "600", "999", "2x0", "-20"})
        EXPECT_EQ(fetch("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 4\r\n\r\nbody"), "") << status;
}

TEST(Session, RejectsMalformedHeaders)
{
    for (const std::string& header : {std::string("X Y: 1"), std::string("X\x01Y: 1"), std::string("X : 1"), std::string(": 1"), std::string("X\x7f: 1"), std::string("X: a\x01z"), std::string("X: a\0z", 6), std::string("Content-Length: 4"), std::string("Content-Length: +4")})
        EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 4\r\n\r\nbody"), "") << header;
    EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\nbody"), "");
    EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), "");
    EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), "");
}

TEST(Session, RejectsMalformedChunks)
{
    for (const auto* body : {"4x\r\nbody\r\n0\r\n\r\n", "4\r\nbodyrest\r\n0\r\n\r\n", "4;\x01\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n", "4\r\nbody\r\n0\r\nX\r\n\r\n", "10000000000000000\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n"})
        EXPECT_EQ(fetch(chunkedHead + body), "") << body;
}

// A body without a length ends with its connection, but not if the connection is reset.
TEST(Session, BodyWithoutLengthIsTruncatedByAReset)
{
    constexpr std::size_t longBodyBytes = 8U * 1024 * 1024; // more than the sockets buffer
    for (int round = 0; round < 5; ++round) {
        EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\n\r\nbody", Ending::Reset), "");
        EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\n\r\nbody", Ending::Reset, longBodyBytes), "");
    }
}

} // namespace balsamreel::Node
