#include "balsamreel/Store/ResolvedUpdate.h"

namespace balsamreel::Store {

namespace {

struct PreconditionCheck {
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

// Repeats an update until its outcome is known. `update` carries it out; `hasTakenEffect` judges what was read back.
template <typename Update, typename IsDone>
std::error_code updateAndResolve(ObjectStore& store, const std::string& key, const Precondition& precondition, const ResolveOptions& options, Update update, IsDone hasTakenEffect)
{
    Backoff backoff(options.backoff, options.seed);
    bool hasLostResponse = false;
    for (unsigned tries = 0; tries < options.maximumTries; ++tries) {
        auto error = update();
        hasLostResponse = hasLostResponse || error == StoreError::OutcomeUnknown;
        // After a lost answer a conflict may be with the own earlier update, so only a read tells.
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
        // The same value under the version that the update was to replace is the old one, not the own.
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
