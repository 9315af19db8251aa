// The operators' files and the head object: errors only, and what is accepted reads back the same.
#include "balsamreel/Config/Files.h"

#include <cstdlib>

using namespace balsamreel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string text(data, data + size);
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
