// Fake of the platform's object store, with faults that can be switched on.
#pragma once

#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Random.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace balsamreel::Standins {

/// Faults, set by POST /v1/faults?down=1&delay_ms=100&lose_answers=0.2
struct StoreFaults {
    bool isDown = false; ///< every call fails with 503
    int delayMillis = 0; ///< before each call is executed
    double responseLossShare = 0; ///< share of executed updates whose connection closes without a response
};

/// Serves objects in memory over HTTP: /v1/objects/KEY (GET, PUT, DELETE; ETag, If-Match, If-None-Match),
/// /v1/list?prefix=, /v1/watch?prefix=&after=&wait_ms=, /v1/stats, /v1/faults.
class FakeStore {
public:
    explicit FakeStore(std::uint64_t seed);

    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

private:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };

    void handleObject(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, const std::string& key);
    void handleUpdate(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, const std::string& key);
    void handleList(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleWatch(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleFaults(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleStats(Poco::Net::HTTPServerResponse&);
    bool preconditionHolds(const Poco::Net::HTTPServerRequest&, const std::string& key) const;
    std::uint64_t newestRevisionUnder(const std::string& prefix) const;
    bool shouldLoseResponse();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Object> objects_;
    std::map<std::string, std::uint64_t> removals_; ///< revision at which a key was removed
    std::uint64_t revision_ = 0;
    StoreFaults faults_;
    Support::Random random_;
    std::map<std::string, std::uint64_t> callCounts_;
};

} // namespace balsamreel::Standins
