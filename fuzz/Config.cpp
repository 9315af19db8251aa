// Merges configuration files and decodes head objects. Invalid input gives diagnostics or no result; the merged text of valid
// files merges to itself without diagnostics, and a decoded head survives encoding and decoding.
#include "balsamreel/Config/Files.h"

#include <cstdlib>

using namespace balsamreel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string text(data, data + size);
    // The record separator (0x1e) divides the input into two files.
    auto separator = text.find('\x1e');
    std::vector<Config::File> files{{"10.toml", text.substr(0, separator), 1}};
    if (separator != std::string::npos)
        files.push_back({"20.toml", text.substr(separator + 1), 2});
    auto merge = Config::mergeFiles(files);
    if (merge.diagnostics.empty()) {
        auto remerged = Config::mergeFiles({{"accepted", merge.mergedText, 0}});
        if (!remerged.diagnostics.empty() || remerged.mergedText != merge.mergedText)
            std::abort();
    }
    if (auto head = Config::decodeHead(text); head && !Config::decodeHead(Config::encodeHead(*head)))
        std::abort();
    return 0;
}
