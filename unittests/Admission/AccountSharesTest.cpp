#include "VirtualServer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace balsamreel::Admission {

using namespace std::chrono_literals;

namespace {

constexpr unsigned slots = 12;
constexpr auto work = 160ms;
constexpr double capacityPerSecond = 75; // slots / work
constexpr unsigned ordinaryAccounts = 10;
constexpr double ordinaryPerSecond = 4; // of one account; together 0.53 of the capacity
constexpr double heavyPerSecond = 110; // of the account that competes with them
constexpr double seconds = 20;
const std::string heavyAccount = "heavy";

void addArrivals(std::vector<Arrival>& arrivals, const std::string& account, double perSecond, std::uint64_t seed)
{
    ArrivalOptions options;
    options.callsPerSecond = perSecond;
    options.seconds = seconds;
    options.shortWork = work;
    options.deadline = 1500ms;
    options.seed = seed;
    for (auto& arrival : drawArrivals(options)) {
        arrival.ticket.caller = account;
        arrivals.push_back(std::move(arrival));
    }
}

std::vector<Arrival> competingAccounts()
{
    std::vector<Arrival> arrivals;
    addArrivals(arrivals, heavyAccount, heavyPerSecond, 1);
    for (unsigned index = 0; index < ordinaryAccounts; ++index)
        addArrivals(arrivals, "account-" + std::to_string(index), ordinaryPerSecond, index + 2);
    std::ranges::sort(arrivals, [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    for (std::size_t index = 0; index < arrivals.size(); ++index)
        arrivals[index].ticket.id = index + 1;
    return arrivals;
}

/// Share of the requests of each account that ran.
std::map<std::string, double> servedShares(const std::vector<Arrival>& arrivals, bool knowsAccounts)
{
    AdmissionOptions options;
    options.slots = slots;
    options.longShare = 0.85;
    options.maximumQueueWait = 400ms;
    options.maximumLimitFactor = 1;
    VirtualServer server(options, slots);
    auto submitted = arrivals;
    if (!knowsAccounts) {
        for (auto& arrival : submitted)
            arrival.ticket.caller.clear();
    }
    auto finished = server.run(submitted);
    std::map<std::string, double> asked;
    std::map<std::string, double> served;
    for (const auto& arrival : arrivals) {
        asked[arrival.ticket.caller] += 1;
        served[arrival.ticket.caller] += finished[arrival.ticket.id].hasRun ? 1 : 0;
    }
    for (auto& [account, count] : served)
        count /= asked[account];
    return served;
}

} // namespace

// One account asks for one and a half times what the server can do. It gets what the others leave; they get what they ask for.
TEST(AccountShares, AHeavyAccountTakesNoRoomFromOthers)
{
    auto arrivals = competingAccounts();
    auto shares = servedShares(arrivals, true);
    auto unaware = servedShares(arrivals, false);
    constexpr double leftover = (capacityPerSecond - ordinaryAccounts * ordinaryPerSecond) / heavyPerSecond;
    EXPECT_GE(shares[heavyAccount], 0.8 * leftover) << "what the others leave does not stay unused";
    for (const auto& [account, share] : shares) {
        if (account == heavyAccount)
            continue;
        EXPECT_GE(share, 0.9) << account;
        EXPECT_LT(unaware[account], 0.75) << account << ": without accounts all lose alike";
    }
}

} // namespace balsamreel::Admission
