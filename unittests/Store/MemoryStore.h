// An in-memory store for tests that can lose requests and responses and delay updates.
#pragma once

#include "balsamreel/Store/ObjectStore.h"

#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace balsamreel::Store {

/// Fault injected into one call.
enum class StoreFault { None,
    LoseResponse, ///< the call takes effect, but its response is lost
    LoseRequest, ///< the call has no effect, which the caller cannot detect
    DelayUpdate, ///< like LoseRequest, but applyDelayedUpdates() applies the update
    Down ///< the call has no effect, and its error is Unavailable
};

class MemoryStore : public ObjectStore {
public:
    std::error_code get(const std::string& key, Object& object) override
    {
        if (nextFault() != StoreFault::None)
            return StoreError::Unavailable;
        ++reads;
        auto found = objects.find(key);
        if (found == objects.end())
            return StoreError::NotFound;
        object = found->second;
        return {};
    }

    std::error_code list(const std::string& prefix, Listing& listing) override
    {
        if (nextFault() != StoreFault::None)
            return StoreError::Unavailable;
        ++reads;
        listing = {{}, revision};
        for (auto current = objects.lower_bound(prefix); current != objects.end() && current->first.starts_with(prefix); ++current)
            listing.entries.push_back({current->first, current->second.version});
        return {};
    }

    std::error_code put(const std::string& key, const std::string& value, const Precondition& precondition, std::uint64_t& version) override
    {
        return update([=, this, &version] { return write(key, &value, precondition, version); }, [=, this] { std::uint64_t ignored = 0; write(key, &value, precondition, ignored); });
    }

    std::error_code remove(const std::string& key, const Precondition& precondition) override
    {
        auto erase = [=, this] { std::uint64_t ignored = 0; return write(key, nullptr, precondition, ignored); };
        return update(erase, erase);
    }

    /// Applies the updates that were delayed.
    void applyDelayedUpdates()
    {
        auto delayed = std::move(delayedUpdates_);
        delayedUpdates_.clear();
        for (auto& action : delayed)
            action();
    }

    std::map<std::string, Object> objects;
    std::uint64_t revision = 0;
    std::deque<StoreFault> faults; ///< one per call, for the next calls
    std::function<void()> afterFault; ///< runs once after the next update that meets a fault
    std::function<void()> beforeCall; ///< runs before each call
    std::size_t reads = 0; ///< gets and lists without a fault
    std::size_t updates = 0; ///< puts and removes that took effect

private:
    struct PreconditionCheck {
        const MemoryStore& store;
        const std::string& key;
        bool operator()(const IfAbsent&) const { return !store.objects.contains(key); }
        bool operator()(const IfVersion& precondition) const { return store.objects.contains(key) && store.objects.at(key).version == precondition.version; }
        bool operator()(const Always&) const { return true; }
    };

    StoreFault nextFault()
    {
        if (auto action = beforeCall)
            action();
        if (faults.empty())
            return StoreFault::None;
        auto fault = faults.front();
        faults.pop_front();
        return fault;
    }

    std::error_code write(const std::string& key, const std::string* value, const Precondition& precondition, std::uint64_t& version)
    {
        if (!value && !objects.contains(key))
            return StoreError::NotFound;
        if (!std::visit(PreconditionCheck{*this, key}, precondition))
            return StoreError::VersionConflict;
        ++updates;
        version = ++revision;
        if (value)
            objects[key] = {*value, version};
        else
            objects.erase(key);
        return {};
    }

    template <typename Apply, typename ApplyLater>
    std::error_code update(Apply apply, ApplyLater applyLater)
    {
        std::error_code error = StoreError::OutcomeUnknown;
        auto fault = nextFault();
        if (fault == StoreFault::None)
            return apply();
        if (fault == StoreFault::LoseResponse)
            apply();
        if (fault == StoreFault::DelayUpdate)
            delayedUpdates_.push_back(applyLater);
        if (fault == StoreFault::Down)
            error = StoreError::Unavailable;
        if (auto action = std::exchange(afterFault, nullptr))
            action();
        return error;
    }

    std::vector<std::function<void()>> delayedUpdates_;
};

} // namespace balsamreel::Store
