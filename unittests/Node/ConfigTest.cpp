// Whole nodes follow the configuration while the store is down or holds an invalid file.
#include "Deployment.h"

#include <gtest/gtest.h>

namespace balsamreel::Node {
namespace {

std::uint64_t generationOf(const Support::Endpoint& admin)
{
    const std::string key = "\"generation\":";
    auto body = call(admin, "GET", "/v1/status").body;
    auto at = body.find(key);
    return at == std::string::npos ? 0 : std::stoull(body.substr(at + key.size()));
}

bool allFollow(const Deployment& deployment, std::uint64_t generation)
{
    return eventually([&] { return std::ranges::all_of(deployment.admins, [&](const auto& admin) { return generationOf(admin) >= generation; }); });
}

void setFaults(const Deployment& deployment, const std::string& faults)
{
    call(deployment.storeEndpoint, "POST", "/v1/faults?" + faults);
}

TEST(ConfigFollower, StoreOutageBlocksOnlyConfigChanges)
{
    Deployment deployment(3);
    ASSERT_TRUE(deployment.waitReady());
    deployment.putFile("20.toml", "[service.catalog]\ndeadline_ms = 4000\n");
    ASSERT_TRUE(allFollow(deployment, 2));
    setFaults(deployment, "down=1");
    deployment.addNode(3);
    ASSERT_TRUE(deployment.waitReady());
    EXPECT_EQ(generationOf(deployment.admins.back()), 2U);
    EXPECT_EQ(call(deployment.entries.back(), "GET", "/specs").status, 200);
    setFaults(deployment, "down=0");
    deployment.putFile("20.toml", "[service.catalog]\ndeadline_ms = 5000\n");
    ASSERT_TRUE(allFollow(deployment, 3));
}

TEST(ConfigFollower, DomainStatusNamesInvalidFile)
{
    Deployment deployment(2);
    ASSERT_TRUE(deployment.waitReady());
    deployment.putFile("20.toml", "[service.catalog]\ndeadline_ms = 0\n");
    Store::Client client(deployment.storeEndpoint);
    Store::Object status;
    EXPECT_TRUE(eventually([&] { return !client.get("test/status/d0", status) && status.value.find("20.toml:2:") != std::string::npos; })) << status.value;
    EXPECT_EQ(generationOf(deployment.admins.front()), 1U);
}

} // namespace
} // namespace balsamreel::Node
