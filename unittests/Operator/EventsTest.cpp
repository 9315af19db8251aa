// Tests the filters and the order of the merged timeline.
#include "balsamreel/Operator/Events.h"

#include <gtest/gtest.h>

namespace balsamreel::Operator {
namespace {

std::vector<Event> sample()
{
    return {
        {3'000'000, 0, "b", "call", "call=c1 step=dispatched server=127.0.0.1:80"},
        {1'000'000, 0, "a", "call", "call=c1 step=attempt server=b/127.0.0.1:80"},
        {1'000'000, 1, "a", "call", "call=c11 step=attempt server=b/127.0.0.1:8000"},
        {2'000'000, 0, "a", "member", "member=b state=alive"},
    };
}

std::vector<std::string> nodesAndTimes(const std::vector<std::string>& arguments)
{
    EventFilter filter;
    EXPECT_EQ(parseFilter(arguments, filter), "");
    std::vector<std::string> found;
    for (const auto& event : selectEvents(sample(), filter))
        found.push_back(event.node + std::to_string(event.micros / 1'000'000) + "." + std::to_string(event.counter));
    return found;
}

TEST(Events, SelectsMatchingEventsInCausalOrder)
{
    using Found = std::vector<std::string>;
    EXPECT_EQ(nodesAndTimes({}), (Found{"a1.0", "a1.1", "a2.0", "b3.0"}));
    EXPECT_EQ(nodesAndTimes({"call=c1"}), (Found{"a1.0", "b3.0"}));
    EXPECT_EQ(nodesAndTimes({"call=c1", "node=b"}), (Found{"b3.0"}));
    EXPECT_EQ(nodesAndTimes({"kind=member"}), (Found{"a2.0"}));
    EXPECT_EQ(nodesAndTimes({"since=1"}), (Found{"a2.0", "b3.0"}));
    EXPECT_EQ(nodesAndTimes({"server=127.0.0.1:8000"}), (Found{"a1.1"}));
}

TEST(Events, ErrorsNameTheInvalidFilter)
{
    EventFilter filter;
    EXPECT_NE(parseFilter({"nod=a"}, filter).find("'nod' is not a filter"), std::string::npos);
    EXPECT_NE(parseFilter({"since=x"}, filter).find("number of seconds"), std::string::npos);
    EXPECT_NE(parseFilter({"call"}, filter).find("KEY=VALUE"), std::string::npos);
}

} // namespace
} // namespace balsamreel::Operator
