#include "balsamreel/Config/Acceptor.h"

#include <algorithm>

namespace balsamreel::Config {

using Store::StoreError;

namespace {

std::error_code readFiles(Store::Client& store, const std::string& prefix, const Store::Listing& listing, std::vector<File>& files)
{
    for (const auto& entry : listing.entries) {
        Store::Object object;
        auto error = store.get(entry.key, object);
        if (error == StoreError::NotFound)
            continue;
        if (error)
            return error;
        files.push_back({entry.key.substr(prefix.size()), std::move(object.value), object.version});
    }
    return {};
}

bool isSameFolder(const Head& head, const Store::Listing& listing, const std::string& prefix)
{
    if (head.fileVersions.size() != listing.entries.size())
        return false;
    return std::ranges::all_of(listing.entries, [&](const auto& entry) {
        auto found = head.fileVersions.find(entry.key.substr(prefix.size()));
        return found != head.fileVersions.end() && found->second == entry.version;
    });
}

std::error_code readHead(Store::Client& store, const std::string& key, Head& head, Store::Precondition& precondition)
{
    Store::Object object;
    auto error = store.get(key, object);
    if (error == StoreError::NotFound) {
        precondition = Store::IfAbsent();
        return {};
    }
    if (error)
        return error;
    auto decoded = decodeHead(object.value);
    if (!decoded)
        return StoreError::Malformed;
    head = std::move(*decoded);
    precondition = Store::IfVersion{object.version};
    return {};
}

} // namespace

std::error_code readFolder(Store::Client& store, const std::string& deployment, std::vector<File>& files)
{
    auto prefix = filesPrefix(deployment);
    Store::Listing listing;
    if (auto error = store.list(prefix, listing))
        return error;
    return readFiles(store, prefix, listing, files);
}

AcceptResult acceptFolder(Store::Client& store, const std::string& deployment)
{
    auto prefix = filesPrefix(deployment);
    AcceptResult result;
    // The head is read before the files: if it is still the same at the update, no
    // one has accepted a newer folder in between, so the update can't undo a change.
    Store::Precondition precondition;
    Store::Listing listing;
    result.error = readHead(store, headKey(deployment), result.head, precondition);
    if (!result.error)
        result.error = store.list(prefix, listing);
    if (result.error || isSameFolder(result.head, listing, prefix) || (listing.entries.empty() && result.head.generation == 0))
        return result;

    std::vector<File> files;
    result.error = readFiles(store, prefix, listing, files);
    if (result.error)
        return result;
    auto merge = mergeFiles(files);
    result.diagnostics = std::move(merge.diagnostics);
    if (!result.diagnostics.empty())
        return result;

    Head next{result.head.generation + 1, {}, std::move(merge.mergedText)};
    for (const auto& file : files)
        next.fileVersions[file.name] = file.version;
    std::uint64_t version = 0;
    auto error = store.put(headKey(deployment), encodeHead(next), precondition, version);
    if (!error) {
        result.head = std::move(next);
        result.isNew = true;
        return result;
    }
    // Whoever won, and whether a lost answer hid our own success, is what the head says now.
    result.error = readHead(store, headKey(deployment), result.head, precondition);
    return result;
}

} // namespace balsamreel::Config
