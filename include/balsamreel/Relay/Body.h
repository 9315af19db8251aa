// Bodies of requests and responses: held once and shared, and counted in a budget of the whole node.
#pragma once

#include "balsamreel/Relay/MemoryBudget.h"
#include "balsamreel/Support/Clock.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Relay {

/// Size of the pieces in which a body is held, and sent between nodes. Leaves room for the allocator below a power of two.
constexpr std::size_t bodySegmentBytes = 15 * 1024;

/// An immutable body. Copies share its bytes, which are given back to the budget with the last copy.
class Body {
public:
    Body() = default;
    Body(std::string text); ///< belongs to no budget
    Body(const char* text); ///< belongs to no budget

    /// Returns a copy that belongs to the budget; nothing if that has no room.
    std::optional<Body> copyInto(const std::shared_ptr<MemoryBudget>&, Support::Instant now) const;

    std::size_t size() const { return content_ ? content_->size : 0; }
    bool empty() const { return size() == 0; }
    const std::vector<std::string>& segments() const;
    std::string text() const; ///< a copy in one piece

    friend bool operator==(const Body& left, const Body& right) { return left.text() == right.text(); }

private:
    friend class BodyReceiver;

    struct Content {
        ~Content() { drop(); }
        void drop();

        std::shared_ptr<MemoryBudget> budget;
        std::vector<std::string> segments;
        std::size_t size = 0;
    };

    std::shared_ptr<Content> content_;
};

/// A body that has not arrived completely. Destroying it drops what has arrived.
class BodyReceiver {
public:
    BodyReceiver() = default; ///< belongs to no budget

    /// The callback is called at most once, if what has arrived has to be dropped to make room for others. Without a callback
    /// the body is never dropped.
    BodyReceiver(std::shared_ptr<MemoryBudget>, std::function<void()> onRefused);

    /// Adds the next bytes; false if the budget has no room for them.
    bool append(std::string_view bytes, Support::Instant now);

    std::size_t size() const;

    /// Returns the complete body and leaves the receiver empty.
    Body finish();

private:
    struct Incomplete {
        std::shared_ptr<Body::Content> content;
        std::function<void()> onRefused;
        MemoryBudget::Holder holder;
    };

    Incomplete& incomplete(Support::Instant now);
    static void refuse(Incomplete&);

    std::shared_ptr<MemoryBudget> budget_;
    std::function<void()> onRefused_;
    std::unique_ptr<Incomplete> incomplete_;
};

} // namespace balsamreel::Relay
