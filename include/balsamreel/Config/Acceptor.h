// Accepts the operators' folder: reads, merges, checks, and moves the head by one conditional update.
#pragma once

#include "balsamreel/Config/Files.h"
#include "balsamreel/Store/ObjectStore.h"

#include <system_error>

namespace balsamreel::Config {

struct AcceptResult {
    std::error_code error; ///< of the store; what follows holds only if there is none
    Head head; ///< the head as it stands afterwards; generation 0 if there is none
    std::uint64_t revision = 0; ///< of the store at the listing; a watch goes on from here
    std::map<std::string, std::uint64_t> folderVersions; ///< of the files as listed
    bool hasMovedHead = false; ///< this call moved the head
    bool isPending = false; ///< the folder differs from the head, and has not been refused as it stands
    std::vector<Diagnostic> diagnostics; ///< why the folder was not accepted
};

/// One node's view of the folder and the head. Any number of acceptors may run at once: the store orders them.
/// What has been read is kept by version, so that a look costs one call while nothing changes. Not thread-safe.
class Acceptor {
public:
    Acceptor(Store::ObjectStore& store, std::string deployment)
        : store_(store)
        , deployment_(std::move(deployment))
    {
    }

    /// Reads the head as it stands, without moving it.
    AcceptResult poll();

    /// Brings the head up to the folder. The new generation is higher than the head's and than the one given.
    AcceptResult accept(std::uint64_t knownGeneration = 0);

private:
    struct Snapshot {
        std::map<std::string, std::uint64_t> files; ///< versions by name
        std::uint64_t revision = 0;
        std::uint64_t headVersion = 0; ///< 0: there is none
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
    std::map<std::string, File> files_; ///< as last read
    std::map<std::string, std::uint64_t> rejectedVersions_; ///< of the folder that the diagnostics are about
    std::vector<Diagnostic> diagnostics_;
};

/// Reads all files of the folder as they stood at one moment. Errors: those of the store.
std::error_code readFolder(Store::ObjectStore&, const std::string& deployment, std::vector<File>&);

/// Merges and checks a whole folder as acceptance does: the names and the size of the head too.
MergeResult checkFolder(const std::vector<File>&);

} // namespace balsamreel::Config
