// A process under test, whose memory and descriptors are measured.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <vector>

namespace balsamreel {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

/// Limits on a process, from the moment of resetPeak().
struct ProcessBounds {
    std::size_t growth = 0; ///< of its resident memory, in bytes
    std::size_t descriptors = 0;
};

class MeasuredProcess {
public:
    MeasuredProcess(std::string name, ProcessBounds bounds)
        : name_(std::move(name))
        , bounds_(bounds)
    {
    }

    ~MeasuredProcess()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }

    MeasuredProcess(const MeasuredProcess&) = delete;
    MeasuredProcess& operator=(const MeasuredProcess&) = delete;

    /// Starts a program. Its standard output is discarded.
    void start(std::string program, std::vector<std::string> arguments)
    {
        // Without this the sanitizer keeps up to 256 MiB of freed memory.
        std::string sanitizer = "ASAN_OPTIONS=quarantine_size_mb=0:thread_local_quarantine_size_kb=0:detect_leaks=0";
        std::vector<char*> words{program.data()};
        for (auto& argument : arguments)
            words.push_back(argument.data());
        words.push_back(nullptr);
        std::array<char*, 2> environment{sanitizer.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        posix_spawn(&pid_, program.c_str(), &actions, nullptr, words.data(), environment.data());
        posix_spawn_file_actions_destroy(&actions);
    }

    bool isRunning() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }

    /// Makes peakGrowth() start at the present size.
    void resetPeak()
    {
        std::ofstream(fmt::format("/proc/{}/clear_refs", pid_)) << "5";
        memoryAtReset_ = statusBytes("VmRSS:");
    }

    std::size_t peakGrowth() const { return statusBytes("VmHWM:") - memoryAtReset_; }

    std::size_t descriptors() const
    {
        std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", pid_));
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    /// Expects that the process lives, and that its memory and descriptors have stayed under their bounds.
    void expectWithinBounds() const
    {
        ASSERT_TRUE(isRunning()) << name_;
        std::cout << name_ << ": growth: " << peakGrowth() / kibibyte << " KiB, descriptors: " << descriptors() << "\n";
        EXPECT_LT(peakGrowth(), bounds_.growth) << name_;
        EXPECT_LT(descriptors(), bounds_.descriptors) << name_;
    }

private:
    std::size_t statusBytes(const std::string& field) const
    {
        std::ifstream status(fmt::format("/proc/{}/status", pid_));
        std::string word;
        std::size_t kibibytes = 0;
        while (status >> word) {
            if (word == field && status >> kibibytes)
                break;
        }
        return kibibytes * kibibyte;
    }

    std::string name_;
    ProcessBounds bounds_;
    pid_t pid_ = -1;
    std::size_t memoryAtReset_ = 0;
};

} // namespace balsamreel
