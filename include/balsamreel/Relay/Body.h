// Bodies of requests: held once and shared, and counted in a budget of the whole node.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Relay {

class BodyBudget;

/// Size of the pieces in which a body is held, and sent between nodes. Leaves room for the allocator below a power of two.
constexpr std::size_t bodySegmentBytes = 15 * 1024;

/// An immutable body. Copies share its bytes, which are given back to the budget with the last copy.
class Body {
public:
    Body() = default;
    Body(std::string text); ///< belongs to no budget

    std::size_t size() const { return content_ ? content_->size : 0; }
    bool empty() const { return size() == 0; }
    const std::vector<std::string>& segments() const;
    std::string text() const; ///< a copy in one piece

    friend bool operator==(const Body& left, const Body& right) { return left.text() == right.text(); }

private:
    friend class BodyReceiver;

    struct Content {
        ~Content();

        std::shared_ptr<BodyBudget> budget;
        std::vector<std::string> segments;
        std::size_t size = 0;
    };

    std::shared_ptr<Content> content_;
};

/// A body that has not arrived completely. Destroying it drops what has arrived.
class BodyReceiver {
public:
    BodyReceiver() = default; ///< belongs to no budget

    /// The callback is called at most once, if what has arrived has to be dropped to make room for others.
    BodyReceiver(std::shared_ptr<BodyBudget>, std::function<void()> onRefused);

    /// Adds the next bytes; false if the budget has no room for them.
    bool append(std::string_view bytes, Support::Instant now);

    std::size_t size() const;

    /// Returns the complete body and leaves the receiver empty.
    Body finish();

private:
    friend class BodyBudget;

    struct Incomplete {
        ~Incomplete();

        std::shared_ptr<Body::Content> content;
        std::function<void()> onRefused;
        Support::Instant progressAt; ///< when the last segment's worth of bytes was complete
        std::size_t progressBytes = 0; ///< size at that time
        std::list<Incomplete*>::iterator position; ///< in the budget, if there is one
    };

    Incomplete& incomplete(Support::Instant now);

    std::shared_ptr<BodyBudget> budget_;
    std::function<void()> onRefused_;
    std::unique_ptr<Incomplete> incomplete_;
};

/// Limits the memory that all bodies of a node hold together. When it runs out, bodies that have stalled are dropped, the one
/// that has stalled longest first. A reserve is kept for small bodies.
class BodyBudget {
public:
    explicit BodyBudget(std::size_t limit);

    std::size_t limit() const { return limit_; }
    std::size_t heldBytes() const { return heldBytes_; }

    /// Number of bodies that were dropped or not taken for lack of room.
    std::uint64_t refusedCount() const { return refusedCount_; }

private:
    friend class Body;
    friend class BodyReceiver;
    using Incomplete = BodyReceiver::Incomplete;

    void add(Incomplete&);
    void remove(const Incomplete&);
    bool tryTake(const Incomplete& requester, std::size_t bytes, Support::Instant now);
    void giveBack(std::size_t bytes) { heldBytes_ -= bytes; }
    void onProgress(Incomplete&, Support::Instant now);
    Incomplete* findStalled(const Incomplete& requester, bool includesSmall, Support::Instant now) const;
    void refuse(Incomplete&, Support::Instant now);

    std::size_t limit_;
    std::size_t smallBodyReserve_;
    std::size_t heldBytes_ = 0;
    std::uint64_t refusedCount_ = 0;
    std::list<Incomplete*> incomplete_; ///< the one that has stalled longest first
};

} // namespace balsamreel::Relay
