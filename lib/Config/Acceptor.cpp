#include "balsamreel/Config/Acceptor.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamreel::Config {

using Store::StoreError;

namespace {

// Bounds how often a folder that is edited during the read is read again.
constexpr unsigned maximumTries = 4;

bool isSameHead(const Head& first, const Head& second)
{
    return first.generation == second.generation && first.fileVersions == second.fileVersions && first.mergedText == second.mergedText;
}

} // namespace

MergeResult checkFolder(const std::vector<File>& files)
{
    auto result = mergeFiles(files);
    Head head{1, {}, result.mergedText};
    for (const auto& file : files) {
        head.fileVersions[file.name] = file.version;
        if (!isFileName(file.name))
            result.diagnostics.push_back({file.name, 0, 0, {}, fmt::format("file names must consist of 1 to {} letters, digits, '.', '_' or '-', and must not start with '.'", maximumFileNameBytes)});
    }
    // Reserves the maximum number of digits per version, as the versions and the generation grow after this check.
    constexpr std::size_t bytesPerVersion = 20;
    auto size = encodeHead(head).size() + bytesPerVersion * (files.size() + 1);
    if (result.diagnostics.empty() && size > Store::maximumValueBytes)
        result.diagnostics.push_back({"(all files)", 0, 0, {}, fmt::format("the merged configuration needs {} bytes; the object store accepts at most {}", size, Store::maximumValueBytes)});
    return result;
}

std::error_code Acceptor::readSnapshot(Snapshot& snapshot)
{
    std::error_code error;
    for (unsigned tries = 0; tries < maximumTries; ++tries) {
        error = readSnapshotOnce(snapshot);
        if (error != StoreError::VersionConflict)
            return error;
    }
    return error;
}

std::error_code Acceptor::readSnapshotOnce(Snapshot& snapshot)
{
    // A single listing returns a consistent snapshot of the folder and of the head's version. If the head still has
    // this version at the update, no other node has accepted a newer folder since, however long this node was paused.
    Store::Listing listing;
    if (auto error = store_.list(configPrefix(deployment_), listing))
        return error;
    auto prefix = filesPrefix(deployment_);
    snapshot = {};
    snapshot.revision = listing.revision;
    for (auto& entry : listing.entries) {
        if (entry.key == headKey(deployment_))
            snapshot.headVersion = entry.version;
        else if (entry.key.starts_with(prefix))
            snapshot.files[entry.key.substr(prefix.size())] = entry.version;
    }
    if (snapshot.headVersion == headVersion_)
        return {};
    if (auto error = readHead(snapshot.headVersion))
        return error;
    // A head that was replaced after the listing may be based on a newer folder than the one listed. An update
    // conditional on that head would revert the newer folder.
    return headVersion_ == snapshot.headVersion ? std::error_code() : StoreError::VersionConflict;
}

std::error_code Acceptor::readHead(std::uint64_t version)
{
    Store::Object object;
    if (version > 0) {
        if (auto error = store_.get(headKey(deployment_), object); error && error != StoreError::NotFound)
            return error;
    }
    // An invalid head counts as no head: the folder is accepted again, under a higher generation.
    head_ = decodeHead(object.value).value_or(Head());
    headVersion_ = object.version;
    return {};
}

std::error_code Acceptor::readFiles(const Snapshot& snapshot)
{
    std::map<std::string, File> files;
    for (const auto& [name, version] : snapshot.files) {
        auto known = files_.find(name);
        if (known != files_.end() && known->second.version == version) {
            files.insert(*known);
            continue;
        }
        Store::Object object;
        if (auto error = store_.get(filesPrefix(deployment_) + name, object))
            return error;
        // The file was edited after the listing. Mixing both states would produce a folder that never existed.
        if (object.version != version)
            return StoreError::VersionConflict;
        files[name] = {name, std::move(object.value), object.version};
    }
    files_ = std::move(files);
    return {};
}

AcceptResult Acceptor::resultOf(const Snapshot& snapshot) const
{
    AcceptResult result;
    result.head = head_;
    result.revision = snapshot.revision;
    result.folderVersions = snapshot.files;
    const auto& versions = snapshot.files;
    if (versions == head_.fileVersions && head_.generation > 0)
        return result;
    // An empty folder is rejected: the cause is more likely a wrong prefix or data loss in the store than the intention
    // to serve nothing. A file that has only a comment expresses that intention.
    if (versions.empty()) {
        if (head_.generation > 0)
            result.diagnostics.push_back({"(no file)", 0, 0, {}, "the folder is empty; the last accepted generation stays in force"});
        return result;
    }
    if (versions == rejectedVersions_)
        result.diagnostics = diagnostics_;
    result.isPending = result.diagnostics.empty();
    return result;
}

AcceptResult Acceptor::poll()
{
    Snapshot snapshot;
    if (auto error = readSnapshot(snapshot))
        return {.error = error};
    return resultOf(snapshot);
}

std::error_code Acceptor::acceptSnapshot(const Snapshot& snapshot, std::uint64_t knownGeneration, AcceptResult& result)
{
    if (auto error = readFiles(snapshot))
        return error;
    std::vector<File> files;
    for (const auto& [name, file] : files_)
        files.push_back(file);
    auto merge = checkFolder(files);
    if (!merge.diagnostics.empty()) {
        diagnostics_ = std::move(merge.diagnostics);
        rejectedVersions_ = snapshot.files;
        result = resultOf(snapshot);
        return {};
    }
    Head next{std::max(head_.generation, knownGeneration) + 1, snapshot.files, std::move(merge.mergedText)};
    Store::Precondition precondition = Store::IfAbsent();
    if (headVersion_ > 0)
        precondition = Store::IfVersion{headVersion_};
    std::uint64_t version = 0;
    auto error = store_.put(headKey(deployment_), encodeHead(next), precondition, version);
    if (!error) {
        head_ = next;
        headVersion_ = version;
    } else if (error == StoreError::OutcomeUnknown || error == StoreError::VersionConflict) {
        // Another node may have won, or this update took effect and its response was lost. The current head shows which.
        result = poll();
    } else {
        return error;
    }
    if (!result.error && isSameHead(head_, next)) {
        result.head = next;
        result.hasMovedHead = true;
        result.isPending = false;
    }
    return result.error;
}

AcceptResult Acceptor::accept(std::uint64_t knownGeneration)
{
    AcceptResult result;
    for (unsigned tries = 0; tries < maximumTries; ++tries) {
        Snapshot snapshot;
        if (auto error = readSnapshot(snapshot))
            return {.error = error};
        result = resultOf(snapshot);
        if (!result.isPending)
            return result;
        result.error = acceptSnapshot(snapshot, knownGeneration, result);
        bool mustReadAgain = result.error == StoreError::VersionConflict || result.error == StoreError::NotFound || (!result.error && result.isPending);
        if (!mustReadAgain)
            return result;
        result.error = {};
        result.isPending = true;
    }
    return result;
}

std::error_code readFolder(Store::ObjectStore& store, const std::string& deployment, std::vector<File>& files)
{
    auto prefix = filesPrefix(deployment);
    std::error_code error;
    for (unsigned tries = 0; tries < maximumTries; ++tries) {
        Store::Listing listing;
        if (error = store.list(prefix, listing); error)
            return error;
        files.clear();
        for (const auto& entry : listing.entries) {
            Store::Object object;
            error = store.get(entry.key, object);
            if (!error && object.version != entry.version)
                error = StoreError::VersionConflict;
            if (error)
                break;
            files.push_back({entry.key.substr(prefix.size()), std::move(object.value), object.version});
        }
        if (!error || (error != StoreError::VersionConflict && error != StoreError::NotFound))
            return error;
    }
    return error;
}

} // namespace balsamreel::Config
