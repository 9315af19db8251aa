// Lost answers are settled by reading back, against a store in memory that loses them.
#include "balsamreel/Store/Settle.h"
#include "Store/MemoryStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Store {
namespace {

SettleOptions options()
{
    return {.sleep = [](Support::Duration) {}};
}

TEST(Settle, ALostAnswerOfAnUpdateThatTookEffectIsDone)
{
    MemoryStore store;
    store.faults = {StoreFault::LoseAnswer};
    std::uint64_t version = 0;
    EXPECT_FALSE(settlePut(store, "k", "mine", IfAbsent(), version, options()));
    EXPECT_EQ(version, 1U);
    EXPECT_EQ(store.updates, 1U);
    store.faults = {StoreFault::LoseAnswer};
    EXPECT_FALSE(settleRemove(store, "k", IfVersion{1}, options()));
}

TEST(Settle, ALostCallIsRepeatedOnlyAfterARead)
{
    MemoryStore store;
    store.faults = {StoreFault::LoseCall, StoreFault::Down};
    std::uint64_t version = 0;
    EXPECT_FALSE(settlePut(store, "k", "mine", IfAbsent(), version, options()));
    EXPECT_EQ(store.updates, 1U);
    EXPECT_EQ(store.reads, 1U);
}

TEST(Settle, AnotherWriterWinsAndIsNamedAConflict)
{
    MemoryStore store;
    std::uint64_t version = 0;
    store.put("k", "old", Always(), version);
    store.faults = {StoreFault::LoseCall};
    store.afterFault = [&] { store.put("k", "theirs", IfVersion{1}, version); };
    EXPECT_EQ(settlePut(store, "k", "mine", IfVersion{1}, version, options()), StoreError::VersionConflict);
    EXPECT_EQ(store.objects.at("k").value, "theirs");
}

TEST(Settle, RewritingTheSameValueIsNotMistakenForDone)
{
    MemoryStore store;
    std::uint64_t version = 0;
    store.put("k", "same", Always(), version);
    store.faults = {StoreFault::LoseCall};
    EXPECT_FALSE(settlePut(store, "k", "same", IfVersion{1}, version, options()));
    EXPECT_EQ(version, 2U);
}

RC_GTEST_PROP(Settle, SaysDoneOnlyIfTheValueIsThere, ())
{
    MemoryStore store;
    store.faults = *rc::gen::container<std::deque<StoreFault>>(rc::gen::element(StoreFault::None, StoreFault::LoseAnswer, StoreFault::LoseCall, StoreFault::Down, StoreFault::Late));
    std::uint64_t version = 0;
    auto error = settlePut(store, "k", "mine", IfAbsent(), version, options());
    store.deliverLate();
    RC_ASSERT(store.updates <= 1U);
    if (!error)
        RC_ASSERT(store.objects.at("k").version == version);
    RC_ASSERT(!error || error == StoreError::OutcomeUnknown || error == StoreError::Unavailable);
}

} // namespace
} // namespace balsamreel::Store
