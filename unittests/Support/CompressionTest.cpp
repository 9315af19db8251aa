#include "balsamreel/Support/Compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Support {

RC_GTEST_PROP(Compression, RoundTripsTexts, (const std::string& text))
{
    RC_ASSERT(decompress(compress(text), text.size()) == text);
}

TEST(Compression, StopsAtTheSizeLimit)
{
    EXPECT_FALSE(decompress(compress(std::string(100'000, 'x')), 99'999));
}

RC_GTEST_PROP(Compression, DamagedInputIsRejectedOrStaysWithinTheLimit, (const std::string& bytes))
{
    constexpr std::size_t limit = 1000;
    auto text = decompress(bytes, limit);
    RC_ASSERT(!text || text->size() <= limit);
}

} // namespace balsamreel::Support
