// Accepted and rejected forms of endpoints, and the round trip of their text form.
#include "balsamreel/Support/Endpoint.h"

#include <gtest/gtest.h>

namespace balsamreel::Support {
namespace {

TEST(Endpoint, ParsesIpAddressesOnly)
{
    EXPECT_EQ(parseEndpoint("127.0.0.1:80")->text(), "127.0.0.1:80");
    EXPECT_EQ(parseEndpoint("[::1]:80")->text(), "[::1]:80");
    for (const char* bad : {"", "127.0.0.1", ":80", "localhost:80", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x", "1.2.3:80"})
        EXPECT_FALSE(parseEndpoint(bad)) << bad;
    EXPECT_EQ(parseEndpoints("127.0.0.1:1,[::1]:2")->size(), 2U);
    EXPECT_FALSE(parseEndpoints("127.0.0.1:1,x"));
}

// Found by fuzzing: POCO printed this address as ::0.0.0.160 and parsed that as a different address.
TEST(Endpoint, AddressTextRoundTrips)
{
    auto endpoint = parseEndpoint("[::0a0]:4");
    ASSERT_TRUE(endpoint);
    EXPECT_EQ(parseEndpoint(endpoint->text()), endpoint);
}

} // namespace
} // namespace balsamreel::Support
