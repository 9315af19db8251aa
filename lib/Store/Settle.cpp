#include "balsamreel/Store/Settle.h"

namespace balsamreel::Store {

namespace {

struct HoldsFor {
    const Object* current; ///< null: no such object
    bool operator()(const IfAbsent&) const { return !current; }
    bool operator()(const IfVersion& precondition) const { return current && current->version == precondition.version; }
    bool operator()(const Always&) const { return true; }
};

bool isTransient(std::error_code error)
{
    return error == StoreError::Unavailable || error == StoreError::BudgetSpent || error == StoreError::Malformed;
}

// Reads until the store answers or the tries are used up.
std::error_code readBack(ObjectStore& store, const std::string& key, Object& object, Backoff& backoff, const SettleOptions& options)
{
    std::error_code error;
    for (unsigned tries = 0; tries < options.maximumTries; ++tries) {
        error = store.get(key, object);
        if (!isTransient(error))
            return error;
        options.sleep(backoff.next());
    }
    return error;
}

// Repeats an update until its outcome is known. `update` carries it out; `isDone` judges what was read back.
template <typename Update, typename IsDone>
std::error_code settle(ObjectStore& store, const std::string& key, const Precondition& precondition, const SettleOptions& options, Update update, IsDone isDone)
{
    Backoff backoff(options.backoff, options.seed);
    bool wasLost = false;
    for (unsigned tries = 0; tries < options.maximumTries; ++tries) {
        auto error = update();
        wasLost = wasLost || error == StoreError::OutcomeUnknown;
        // After a lost answer a conflict may be with the own earlier update, so only a read tells.
        bool isOpen = error == StoreError::OutcomeUnknown || (wasLost && error);
        if (!isOpen)
            return error;
        Object current;
        error = readBack(store, key, current, backoff, options);
        if (error && error != StoreError::NotFound)
            return StoreError::OutcomeUnknown;
        const Object* found = error ? nullptr : &current;
        if (isDone(found))
            return {};
        if (!std::visit(HoldsFor{found}, precondition))
            return StoreError::VersionConflict;
        options.sleep(backoff.next());
    }
    return StoreError::OutcomeUnknown;
}

} // namespace

std::error_code settlePut(ObjectStore& store, const std::string& key, const std::string& value, const Precondition& precondition, std::uint64_t& version, const SettleOptions& options)
{
    auto update = [&] { return store.put(key, value, precondition, version); };
    return settle(store, key, precondition, options, update, [&](const Object* current) {
        // The same value under the version that the update was to replace is the old one, not the own.
        const auto* replaced = std::get_if<IfVersion>(&precondition);
        if (!current || current->value != value || (replaced && current->version == replaced->version))
            return false;
        version = current->version;
        return true;
    });
}

std::error_code settleRemove(ObjectStore& store, const std::string& key, const Precondition& precondition, const SettleOptions& options)
{
    auto update = [&] { return store.remove(key, precondition); };
    return settle(store, key, precondition, options, update, [](const Object* current) { return !current; });
}

} // namespace balsamreel::Store
