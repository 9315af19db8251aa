// How a node divides its memory among what callers, servers and other nodes make it hold.
#pragma once

#include "balsamreel/Relay/MemoryBudget.h"

#include <cstdint>
#include <memory>

namespace balsamreel::Relay {

/// The budgets of one node. The rest of its memory is left to connections, routes and the list of nodes, whose number is limited.
struct NodeMemory {
    explicit NodeMemory(std::uint64_t bytes)
        : requests(budget(bytes, requestSixteenths))
        , responses(budget(bytes, responseSixteenths))
        , sendQueues(budget(bytes, sendQueueSixteenths))
    {
    }

    std::shared_ptr<MemoryBudget> requests; ///< headers and bodies, and what callers send ahead
    std::shared_ptr<MemoryBudget> responses; ///< from their first bytes until the caller has read them
    std::shared_ptr<MemoryBudget> sendQueues; ///< messages that other nodes have not read yet, without long bodies

private:
    static constexpr std::uint64_t sixteenths = 16;
    static constexpr std::uint64_t requestSixteenths = 7;
    static constexpr std::uint64_t responseSixteenths = 3;
    static constexpr std::uint64_t sendQueueSixteenths = 1;

    static std::shared_ptr<MemoryBudget> budget(std::uint64_t bytes, std::uint64_t share)
    {
        return std::make_shared<MemoryBudget>(bytes / sixteenths * share);
    }
};

} // namespace balsamreel::Relay
