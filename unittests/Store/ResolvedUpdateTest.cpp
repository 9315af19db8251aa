// Tests that updates with lost requests or responses are resolved by reading back, against an in-memory store.
#include "balsamreel/Store/ResolvedUpdate.h"
#include "Store/MemoryStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Store {
namespace {

ResolveOptions options()
{
    return {.sleep = [](Support::Duration) {}};
}

TEST(ResolvedUpdate, AnUpdateThatTookEffectSucceedsDespiteALostResponse)
{
    MemoryStore store;
    store.faults = {StoreFault::LoseResponse};
    std::uint64_t version = 0;
    EXPECT_FALSE(putAndResolve(store, "k", "mine", IfAbsent(), version, options()));
    EXPECT_EQ(version, 1U);
    EXPECT_EQ(store.updates, 1U);
    store.faults = {StoreFault::LoseResponse};
    EXPECT_FALSE(removeAndResolve(store, "k", IfVersion{1}, options()));
}

TEST(ResolvedUpdate, RepeatsALostRequestOnlyAfterARead)
{
    MemoryStore store;
    store.faults = {StoreFault::LoseRequest, StoreFault::Down};
    std::uint64_t version = 0;
    EXPECT_FALSE(putAndResolve(store, "k", "mine", IfAbsent(), version, options()));
    EXPECT_EQ(store.updates, 1U);
    EXPECT_EQ(store.reads, 1U);
}

TEST(ResolvedUpdate, ReportsAConflictIfAnotherWriterWins)
{
    MemoryStore store;
    std::uint64_t version = 0;
    store.put("k", "old", Always(), version);
    store.faults = {StoreFault::LoseRequest};
    store.afterFault = [&] { store.put("k", "theirs", IfVersion{1}, version); };
    EXPECT_EQ(putAndResolve(store, "k", "mine", IfVersion{1}, version, options()), StoreError::VersionConflict);
    EXPECT_EQ(store.objects.at("k").value, "theirs");
}

TEST(ResolvedUpdate, AnUnchangedOldValueDoesNotCountAsWritten)
{
    MemoryStore store;
    std::uint64_t version = 0;
    store.put("k", "same", Always(), version);
    store.faults = {StoreFault::LoseRequest};
    EXPECT_FALSE(putAndResolve(store, "k", "same", IfVersion{1}, version, options()));
    EXPECT_EQ(version, 2U);
}

RC_GTEST_PROP(ResolvedUpdate, ReportsSuccessOnlyIfTheValueIsStored, ())
{
    MemoryStore store;
    store.faults = *rc::gen::container<std::deque<StoreFault>>(rc::gen::element(StoreFault::None, StoreFault::LoseResponse, StoreFault::LoseRequest, StoreFault::Down, StoreFault::DelayUpdate));
    std::uint64_t version = 0;
    auto error = putAndResolve(store, "k", "mine", IfAbsent(), version, options());
    store.applyDelayedUpdates();
    RC_ASSERT(store.updates <= 1U);
    if (!error)
        RC_ASSERT(store.objects.at("k").version == version);
    RC_ASSERT(!error || error == StoreError::OutcomeUnknown || error == StoreError::Unavailable);
}

} // namespace
} // namespace balsamreel::Store
