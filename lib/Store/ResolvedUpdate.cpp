#include "balsamreel/Store/ResolvedUpdate.h"

namespace balsamreel::Store {

namespace {

struct PreconditionCheck {
    const Object* current; ///< null if the object does not exist
    bool operator()(const IfAbsent&) const { return !current; }
    bool operator()(const IfVersion& precondition) const { return current && current->version == precondition.version; }
    bool operator()(const Always&) const { return true; }
};

bool isTransient(std::error_code error)
{
    return error == StoreError::Unavailable || error == StoreError::BudgetSpent || error == StoreError::Malformed;
}

// Reads the object, with retries after transient errors.
std::error_code readBack(ObjectStore& store, const std::string& key, Object& object, Backoff& backoff, const ResolveOptions& options)
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

// Repeats an update until its outcome is known. `update` makes the store call; `hasTakenEffect` decides from the object read
// back, or null, whether it took effect.
template <typename Update, typename IsDone>
std::error_code updateAndResolve(ObjectStore& store, const std::string& key, const Precondition& precondition, const ResolveOptions& options, Update update, IsDone hasTakenEffect)
{
    Backoff backoff(options.backoff, options.seed);
    bool hasLostResponse = false;
    for (unsigned tries = 0; tries < options.maximumTries; ++tries) {
        auto error = update();
        hasLostResponse = hasLostResponse || error == StoreError::OutcomeUnknown;
        // After a lost response a conflict may be caused by this caller's own earlier update, so only a read shows the
        // outcome.
        bool needsReadBack = error == StoreError::OutcomeUnknown || (hasLostResponse && error);
        if (!needsReadBack)
            return error;
        Object current;
        error = readBack(store, key, current, backoff, options);
        if (error && error != StoreError::NotFound)
            return StoreError::OutcomeUnknown;
        const Object* found = error ? nullptr : &current;
        if (hasTakenEffect(found))
            return {};
        if (!std::visit(PreconditionCheck{found}, precondition))
            return StoreError::VersionConflict;
        options.sleep(backoff.next());
    }
    return StoreError::OutcomeUnknown;
}

} // namespace

std::error_code putAndResolve(ObjectStore& store, const std::string& key, const std::string& value, const Precondition& precondition, std::uint64_t& version, const ResolveOptions& options)
{
    auto update = [&] { return store.put(key, value, precondition, version); };
    return updateAndResolve(store, key, precondition, options, update, [&](const Object* current) {
        // The same value under the version to be replaced is the old value, not the one written by this update.
        const auto* replaced = std::get_if<IfVersion>(&precondition);
        if (!current || current->value != value || (replaced && current->version == replaced->version))
            return false;
        version = current->version;
        return true;
    });
}

std::error_code removeAndResolve(ObjectStore& store, const std::string& key, const Precondition& precondition, const ResolveOptions& options)
{
    auto update = [&] { return store.remove(key, precondition); };
    return updateAndResolve(store, key, precondition, options, update, [](const Object* current) { return !current; });
}

} // namespace balsamreel::Store
