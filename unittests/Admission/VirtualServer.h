// Simulates an admission controller with a server and callers on a virtual clock.
#pragma once

#include "balsamreel/Admission/AdmissionController.h"
#include "balsamreel/Support/Random.h"

#include <map>
#include <queue>
#include <string>
#include <vector>

namespace balsamreel::Admission {

/// A call that arrives during a simulated run.
struct Arrival {
    Support::Instant at;
    Ticket ticket;
    Support::Duration work{};
};

struct Finished {
    bool hasRun = false;
    Support::Instant startedAt;
    Support::Instant endedAt;
    Support::Duration predictedWait{};
};

/// Passes arrivals through an admission controller to a server with the given number of real slots; further admitted
/// calls queue inside the server. An unlimited controller serves as the first-in-first-out baseline.
class VirtualServer {
public:
    VirtualServer(AdmissionOptions options, unsigned realSlots)
        : controller_(options)
        , realSlots_(realSlots)
    {
    }

    std::map<std::uint64_t, Finished> run(const std::vector<Arrival>& arrivals)
    {
        std::size_t next = 0;
        auto nextTick = Support::Instant{};
        while (next < arrivals.size() || !ends_.empty() || !inside_.empty() || controller_.load(nextTick).queued > 0) {
            auto now = nextTick;
            if (next < arrivals.size())
                now = std::min(now, arrivals[next].at);
            if (!ends_.empty())
                now = std::min(now, ends_.top().first);
            if (!ends_.empty() && ends_.top().first == now)
                end(now);
            else if (next < arrivals.size() && arrivals[next].at == now)
                submit(now, arrivals[next++]);
            else {
                take(now, controller_.tick(now));
                nextTick = now + std::chrono::milliseconds(10);
            }
        }
        return finished_;
    }

    AdmissionController& controller() { return controller_; }

private:
    using End = std::pair<Support::Instant, std::uint64_t>;

    void submit(Support::Instant now, const Arrival& arrival)
    {
        auto id = arrival.ticket.id;
        work_[id] = arrival.work;
        auto wait = controller_.load(now).expectedWait;
        finished_[id].predictedWait = wait;
        if (std::holds_alternative<Admitted>(controller_.submit(now, arrival.ticket)))
            start(now, id);
        take(now, controller_.takeEvicted());
    }

    void take(Support::Instant now, const std::vector<Resolution>& resolutions)
    {
        for (const auto& resolution : resolutions) {
            if (std::holds_alternative<Admitted>(resolution.decision))
                start(now, resolution.ticket);
        }
    }

    void start(Support::Instant now, std::uint64_t id)
    {
        finished_[id].hasRun = true;
        finished_[id].startedAt = now;
        inside_.push(id);
        fill(now);
    }

    void fill(Support::Instant now)
    {
        for (; !inside_.empty() && ends_.size() < realSlots_; inside_.pop())
            ends_.emplace(now + work_[inside_.front()], inside_.front());
    }

    void end(Support::Instant now)
    {
        auto id = ends_.top().second;
        ends_.pop();
        finished_[id].endedAt = now;
        fill(now);
        take(now, controller_.finish(now, id, true));
    }

    AdmissionController controller_;
    unsigned realSlots_;
    std::map<std::uint64_t, Support::Duration> work_;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
    std::queue<std::uint64_t> inside_;
    std::map<std::uint64_t, Finished> finished_;
};

/// Parameters of the generated arrivals.
struct ArrivalOptions {
    double callsPerSecond = 100;
    double seconds = 10;
    Support::Duration shortWork = std::chrono::milliseconds(10);
    Support::Duration longWork = std::chrono::milliseconds(500);
    double longShare = 0; ///< share of long calls
    Support::Duration deadline = std::chrono::seconds(5);
    std::uint64_t seed = 1;
};

inline std::vector<Arrival> drawArrivals(const ArrivalOptions& options)
{
    Support::Random random(options.seed);
    std::vector<Arrival> arrivals;
    constexpr double microsPerSecond = 1e6;
    double at = 0;
    while ((at += random.exponential(1 / options.callsPerSecond)) < options.seconds) {
        Arrival arrival;
        arrival.at = Support::Instant(Support::Duration(static_cast<std::int64_t>(at * microsPerSecond)));
        bool isLong = random.fraction() < options.longShare;
        auto mean = isLong ? options.longWork : options.shortWork;
        arrival.work = mean / 2 + Support::Duration(static_cast<std::int64_t>(random.exponential(static_cast<double>(mean.count()) / 2)));
        arrival.ticket.id = arrivals.size() + 1;
        arrival.ticket.route = isLong ? "long" : "short";
        arrival.ticket.deadline = arrival.at + options.deadline;
        arrivals.push_back(arrival);
    }
    return arrivals;
}

} // namespace balsamreel::Admission
