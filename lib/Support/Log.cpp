#include "balsamreel/Support/Log.h"

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"

#include <atomic>
#include <cstdio>
#include <mutex>

namespace balsamreel::Support {

namespace {

constexpr NameTable<LogLevel, 4> levelNames{{{LogLevel::Debug, "debug"}, {LogLevel::Info, "info"}, {LogLevel::Warning, "warning"}, {LogLevel::Error, "error"}}};

std::atomic<LogLevel> threshold{LogLevel::Info};
std::mutex sourceMutex;

std::string& sourceName()
{
    static std::string name = "balsamreel";
    return name;
}

} // namespace

void setLogLevel(LogLevel level)
{
    threshold = level;
}

void setLogSource(std::string source)
{
    std::lock_guard lock(sourceMutex);
    sourceName() = std::move(source);
}

void writeLogLine(LogLevel level, std::string_view event, std::string_view fields)
{
    if (level < threshold.load())
        return;
    std::lock_guard lock(sourceMutex);
    fmt::print(stderr, "ts={} level={} source={} event={} {}\n", wallMicros(), nameOf(levelNames, level), sourceName(), event, fields);
}

} // namespace balsamreel::Support
