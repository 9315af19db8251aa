#include "balsamreel/Relay/EventLog.h"

#include <fcntl.h>
#include <unistd.h>

namespace balsamreel::Relay {

namespace {

constexpr unsigned routineLinesPerSecond = 60;
constexpr unsigned notableLinesPerSecond = 200;
constexpr std::size_t maximumBufferBytes = 256 * 1024;
constexpr auto flushInterval = std::chrono::milliseconds(250);

} // namespace

EventLog::EventLog(Loop& loop, std::string source, int descriptor)
    : timer_(loop)
    , source_(std::move(source))
    , descriptor_(descriptor)
{
    // If the descriptor blocked, a reader that stops reading would stop the process. Without the flag, lines are still written.
    int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool EventLog::admit(LogClass logClass)
{
    if (buffer_.size() > maximumBufferBytes)
        return false;
    auto& rate = rates_[logClass];
    auto second = std::chrono::floor<std::chrono::seconds>(Support::monotonicNow());
    if (rate.second != second)
        rate = {second, 0};
    return ++rate.lines <= (logClass == LogClass::Routine ? routineLinesPerSecond : notableLinesPerSecond);
}

void EventLog::append(std::string_view event, const std::string& fields)
{
    buffer_ += fmt::format("ts={} source={} event={} {}\n", Support::wallMicros(), source_, event, fields);
    scheduleFlush();
}

void EventLog::scheduleFlush()
{
    if (isScheduled_)
        return;
    isScheduled_ = true;
    timer_.expires_after(flushInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        isScheduled_ = false;
        flush();
        if (!buffer_.empty())
            scheduleFlush();
    });
}

void EventLog::flush()
{
    if (droppedLines_ > 0) {
        droppedLinesTotal_ += droppedLines_;
        buffer_ += fmt::format("ts={} source={} event=lines-left-out count={}\n", Support::wallMicros(), source_, droppedLines_);
        droppedLines_ = 0;
    }
    while (!buffer_.empty()) {
        auto count = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (count <= 0)
            return; // the reader is too slow; the next flush retries
        buffer_.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace balsamreel::Relay
