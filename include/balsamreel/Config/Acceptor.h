// Accepts the operators' files: reads, merges and checks them, and replaces the head by one conditional update.
#pragma once

#include "balsamreel/Config/Files.h"
#include "balsamreel/Store/ObjectStore.h"

#include <system_error>

namespace balsamreel::Config {

struct AcceptResult {
    std::error_code error; ///< of a store call; the other fields are valid only without an error
    Head head; ///< the current head; generation 0 if there is none
    std::uint64_t revision = 0; ///< store revision of the listing; a watch starts after it
    std::map<std::string, std::uint64_t> folderVersions; ///< listed version of each file
    bool hasMovedHead = false; ///< this call wrote the head
    bool isPending = false; ///< the folder differs from the head and was not rejected with these versions
    std::vector<Diagnostic> diagnostics; ///< reasons for rejecting the folder
};

/// One node's view of the folder and the head. Any number of nodes may run an acceptor at the same time: the store
/// serializes their updates. Objects are cached by version, so a poll without changes costs one store call. Not
/// thread-safe.
class Acceptor {
public:
    Acceptor(Store::ObjectStore& store, std::string deployment)
        : store_(store)
        , deployment_(std::move(deployment))
    {
    }

    /// Reads the folder's state and the head without writing.
    AcceptResult poll();

    /// Replaces the head if the folder has changed and is valid. The new generation is higher than both the head's and
    /// knownGeneration.
    AcceptResult accept(std::uint64_t knownGeneration = 0);

private:
    struct Snapshot {
        std::map<std::string, std::uint64_t> files; ///< version by file name
        std::uint64_t revision = 0;
        std::uint64_t headVersion = 0; ///< 0 if there is no head
    };

    std::error_code readSnapshot(Snapshot&);
    std::error_code readSnapshotOnce(Snapshot&);
    std::error_code readHead(std::uint64_t version);
    std::error_code readFiles(const Snapshot&);
    AcceptResult resultOf(const Snapshot&) const;
    std::error_code acceptSnapshot(const Snapshot&, std::uint64_t knownGeneration, AcceptResult&);

    Store::ObjectStore& store_;
    std::string deployment_;
    Head head_;
    std::uint64_t headVersion_ = 0;
    std::map<std::string, File> files_; ///< cache of the files last read
    std::map<std::string, std::uint64_t> rejectedVersions_; ///< file versions that diagnostics_ refers to
    std::vector<Diagnostic> diagnostics_;
};

/// Reads a consistent snapshot of all files of the folder. Errors: those of ObjectStore::list and get, and VersionConflict
/// or NotFound if the folder keeps changing.
std::error_code readFolder(Store::ObjectStore&, const std::string& deployment, std::vector<File>&);

/// Merges the files and applies all checks that acceptance applies, including file names and the size of the head.
MergeResult checkFolder(const std::vector<File>&);

} // namespace balsamreel::Config
