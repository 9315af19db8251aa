// Tests acceptance against an in-memory store that loses responses, delays updates and lets other writers intervene.
#include "balsamreel/Config/Acceptor.h"
#include "Store/MemoryStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace balsamreel::Config {
namespace {

using Store::MemoryStore;
using Store::StoreFault;

const std::string deployment = "test";

void edit(MemoryStore& store, const std::string& name, const std::string& text)
{
    std::uint64_t version = 0;
    store.put(filesPrefix(deployment) + name, text, Store::Always(), version);
}

std::string serviceText(int deadline)
{
    return "[service.catalog]\ndeadline_ms = " + std::to_string(deadline) + "\n";
}

std::optional<Head> headIn(const MemoryStore& store)
{
    auto found = store.objects.find(headKey(deployment));
    return found == store.objects.end() ? std::nullopt : decodeHead(found->second.value);
}

TEST(Acceptor, AcceptsOnceThenPollsWithOneCall)
{
    MemoryStore store;
    edit(store, "a.toml", serviceText(1000));
    Acceptor acceptor(store, deployment);
    auto result = acceptor.accept();
    EXPECT_TRUE(result.hasMovedHead);
    EXPECT_EQ(result.head.generation, 1U);
    auto reads = store.reads;
    result = acceptor.accept();
    EXPECT_FALSE(result.hasMovedHead);
    EXPECT_EQ(result.head.generation, 1U);
    EXPECT_EQ(store.reads, reads + 1);
}

TEST(Acceptor, ResolvesALostResponseByReadingBack)
{
    MemoryStore store;
    edit(store, "a.toml", serviceText(1000));
    Acceptor acceptor(store, deployment);
    store.faults = {StoreFault::None, StoreFault::None, StoreFault::LoseResponse};
    auto result = acceptor.accept();
    EXPECT_TRUE(result.hasMovedHead);
    EXPECT_EQ(result.head.generation, 1U);
    EXPECT_EQ(store.updates, 2U);
}

TEST(Acceptor, ADelayedUpdateDoesNotOverwriteANewerHead)
{
    MemoryStore store;
    edit(store, "a.toml", serviceText(1000));
    Acceptor paused(store, deployment);
    store.faults = {StoreFault::None, StoreFault::None, StoreFault::DelayUpdate, StoreFault::Down};
    EXPECT_TRUE(paused.accept().error);
    edit(store, "a.toml", serviceText(2000));
    Acceptor other(store, deployment);
    EXPECT_TRUE(other.accept().hasMovedHead);
    auto accepted = store.objects.at(headKey(deployment)).value;
    store.applyDelayedUpdates();
    EXPECT_EQ(store.objects.at(headKey(deployment)).value, accepted);
}

TEST(Acceptor, AnAcceptorPausedBeforeItsUpdateDoesNotOverwriteANewerHead)
{
    MemoryStore store;
    edit(store, "a.toml", serviceText(1000));
    Acceptor paused(store, deployment);
    Acceptor other(store, deployment);
    int calls = 0;
    store.beforeCall = [&] {
        // Runs directly before the third call of the paused acceptor, its update of the head.
        if (++calls != 3)
            return;
        store.beforeCall = nullptr;
        edit(store, "a.toml", serviceText(2000));
        ASSERT_TRUE(other.accept().hasMovedHead);
    };
    auto result = paused.accept();
    EXPECT_FALSE(result.hasMovedHead);
    EXPECT_EQ(result.head.generation, 1U);
    EXPECT_NE(result.head.mergedText.find("2000"), std::string::npos);
}

TEST(Acceptor, DoesNotUpdateAHeadThatMovedAfterTheListing)
{
    MemoryStore store;
    edit(store, "b.toml", serviceText(1000));
    Acceptor first(store, deployment);
    Acceptor other(store, deployment);
    ASSERT_TRUE(other.accept().hasMovedHead);
    edit(store, "b.toml", serviceText(2000));
    int calls = 0;
    store.beforeCall = [&] {
        // Runs between the listing of the first acceptor and its read of the head.
        if (++calls != 2)
            return;
        store.beforeCall = nullptr;
        edit(store, "a.toml", serviceText(3000));
        ASSERT_TRUE(other.accept().hasMovedHead);
    };
    auto result = first.accept();
    EXPECT_FALSE(result.hasMovedHead);
    EXPECT_EQ(result.head.generation, 2U);
    EXPECT_EQ(headIn(store)->fileVersions.size(), 2U);
}

TEST(Acceptor, TheConfigurationExpectedInTwoYearsFitsTheHead)
{
    constexpr int serviceCount = 140;
    constexpr int routesPerService = 10;
    std::string text;
    for (int service = 0; service < serviceCount; ++service) {
        text += "[service.service-" + std::to_string(service) + "]\ndeadline_ms = 5000\nqueue_ms = 300\n";
        for (int route = 0; route < routesPerService; ++route)
            text += "[route.route-" + std::to_string(service * routesPerService + route) + "]\nservice = \"service-" + std::to_string(service) + "\"\npath = \"/service-" + std::to_string(service) + "/route-" + std::to_string(route) + "/\"\nmethods = [\"GET\"]\npriority = 3\n";
    }
    auto result = checkFolder({{"all.toml", text, 1}});
    ASSERT_TRUE(result.diagnostics.empty());
    constexpr std::size_t quarterOfTheLimit = Store::maximumValueBytes / 4;
    EXPECT_LT(encodeHead({1, {{"all.toml", 1}}, result.mergedText}).size(), quarterOfTheLimit);
}

TEST(Acceptor, RereadsAFolderEditedDuringTheRead)
{
    MemoryStore store;
    edit(store, "a.toml", serviceText(1000));
    edit(store, "b.toml", "[service.batch]\n");
    Acceptor acceptor(store, deployment);
    int calls = 0;
    store.beforeCall = [&] {
        if (++calls != 3)
            return;
        store.beforeCall = nullptr;
        edit(store, "a.toml", serviceText(3000));
        ASSERT_FALSE(store.remove(filesPrefix(deployment) + "b.toml", Store::Always()));
    };
    auto result = acceptor.accept();
    EXPECT_TRUE(result.hasMovedHead);
    EXPECT_EQ(result.head.fileVersions.size(), 1U);
    EXPECT_NE(result.head.mergedText.find("3000"), std::string::npos);
}

TEST(Acceptor, InvalidAndEmptyFoldersLeaveTheHeadUnchanged)
{
    MemoryStore store;
    edit(store, "a.toml", serviceText(1000));
    Acceptor acceptor(store, deployment);
    acceptor.accept();
    auto accepted = store.objects.at(headKey(deployment)).value;
    auto rejection = [&](const std::string& name, const std::string& text) {
        edit(store, name, text);
        auto result = acceptor.accept();
        EXPECT_EQ(store.objects.at(headKey(deployment)).value, accepted);
        EXPECT_EQ(result.head.generation, 1U);
        store.remove(filesPrefix(deployment) + name, Store::Always());
        return result.diagnostics.empty() ? std::string() : result.diagnostics[0].text();
    };
    EXPECT_EQ(rejection("b.toml", "[broken\n").substr(0, 7), "b.toml:");
    EXPECT_EQ(rejection("b.toml", "# \xff\xfe\n").substr(0, 9), "b.toml:1:");
    EXPECT_NE(rejection("sub/b.toml", "# fine\n").find("file names"), std::string::npos);
    std::string manyServices;
    for (int index = 0; index < 30'000; ++index)
        manyServices += "[service.s" + std::to_string(index) + "]\ndeadline_ms = 1000\n";
    EXPECT_NE(rejection("b.toml", manyServices).find("bytes; the object store accepts at most 1048576"), std::string::npos);
    store.remove(filesPrefix(deployment) + "a.toml", Store::Always());
    EXPECT_NE(acceptor.accept().diagnostics.at(0).message.find("empty"), std::string::npos);
    EXPECT_EQ(store.objects.at(headKey(deployment)).value, accepted);
}

TEST(Acceptor, ReplacesAnUnreadableHeadUnderAHigherGeneration)
{
    MemoryStore store;
    edit(store, "a.toml", serviceText(1000));
    Acceptor acceptor(store, deployment);
    acceptor.accept();
    std::uint64_t version = 0;
    store.put(headKey(deployment), "not a head", Store::Always(), version);
    EXPECT_EQ(acceptor.accept(7).head.generation, 8U);
}

// Runs random edits, faults, races and delayed updates. Checks after each step that an accepted head never has a lower
// generation or an older folder than the head before it.
RC_GTEST_PROP(Acceptor, GenerationsAndFoldersNeverRevert, ())
{
    MemoryStore store;
    std::vector<Acceptor> acceptors(3, Acceptor(store, deployment));
    Acceptor concurrent(store, deployment);
    std::map<std::string, std::uint64_t> accepted; // last accepted version of each file
    std::map<std::string, std::uint64_t> lowest; // lowest version of each file that a later head may have
    std::uint64_t generation = 0;
    auto check = [&] {
        auto head = headIn(store);
        if (!head || head->generation == generation)
            return;
        RC_ASSERT(head->generation > generation);
        generation = head->generation;
        // All versions come from one counter. An older folder is therefore detected by a file with a lower version than
        // before, or by a removed file that reappears with its old version.
        for (const auto& [name, version] : accepted) {
            if (!head->fileVersions.contains(name))
                lowest[name] = version + 1;
        }
        for (const auto& [name, version] : head->fileVersions) {
            RC_ASSERT(lowest[name] <= version);
            lowest[name] = accepted[name] = version;
        }
    };
    auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 3), rc::gen::inRange(1, 5)));
    for (auto [action, which, value] : steps) {
        auto name = std::string(1, static_cast<char>('a' + which)) + ".toml";
        if (action == 0)
            edit(store, name, serviceText(1000 + value));
        else if (action == 1)
            edit(store, name, "[service.catalog]\ndeadline_ms = 0\n");
        else if (action == 2)
            store.remove(filesPrefix(deployment) + name, Store::Always());
        else if (action == 3)
            store.applyDelayedUpdates();
        else if (action == 4)
            store.faults.assign(static_cast<std::size_t>(value), StoreFault::LoseResponse);
        else if (action == 5)
            store.faults = {StoreFault::None, StoreFault::None, StoreFault::DelayUpdate, StoreFault::Down};
        else if (action == 6)
            store.beforeCall = [&, count = std::make_shared<int>(0), value = value] {
                // An operator's edit and another acceptor interleave with the next acceptance.
                if (++*count != value)
                    return;
                store.beforeCall = nullptr;
                edit(store, "a.toml", serviceText(2000 + value));
                concurrent.accept();
                check();
            };
        else
            acceptors[static_cast<std::size_t>(which)].accept();
        store.faults.resize(action >= 7 ? 0 : store.faults.size());
        check();
    }
    // After the faults end, the current folder must be accepted if it is valid.
    store.beforeCall = nullptr;
    store.faults.clear();
    store.applyDelayedUpdates();
    auto result = acceptors[0].accept();
    check();
    RC_ASSERT(!result.error && !result.isPending);
    std::vector<File> files;
    RC_ASSERT(!readFolder(store, deployment, files));
    if (files.empty() || !checkFolder(files).diagnostics.empty())
        return;
    auto head = headIn(store);
    RC_ASSERT((head && head->mergedText == checkFolder(files).mergedText));
}

} // namespace
} // namespace balsamreel::Config
