#include "balsamreel/Support/Compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace balsamreel::Support {

std::string compress(const std::string& text)
{
    if (text.empty())
        return {};
    std::ostringstream compressed;
    Poco::DeflatingOutputStream stream(compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    stream.write(text.data(), static_cast<std::streamsize>(text.size()));
    stream.close();
    return std::move(compressed).str();
}

// Stops as soon as the text exceeds the limit.
std::optional<std::string> decompress(const std::string& compressed, std::size_t limit)
{
    if (compressed.empty())
        return std::string(); // compress() returns nothing for the empty text
    constexpr std::size_t chunkBytes = 4096;
    std::array<char, chunkBytes> chunk;
    std::string text;
    try {
        std::istringstream source(compressed);
        Poco::InflatingInputStream stream(source);
        while (stream.read(chunk.data(), chunk.size()) || stream.gcount() > 0) {
            if (text.size() + static_cast<std::size_t>(stream.gcount()) > limit)
                return std::nullopt;
            text.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
        }
        if (stream.bad())
            return std::nullopt;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
    return text;
}

} // namespace balsamreel::Support
