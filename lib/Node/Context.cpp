#include "balsamreel/Node/Context.h"

namespace balsamreel::Node {

std::shared_ptr<const ActiveConfig> ConfigHolder::get() const
{
    std::lock_guard lock(mutex_);
    return active_;
}

bool ConfigHolder::apply(const Config::Head& head)
{
    auto current = get();
    if (current && current->head.generation >= head.generation)
        return false;
    auto merge = Config::mergeFiles({{"accepted", head.mergedText, 0}});
    if (!merge.diagnostics.empty())
        return false;
    auto next = std::make_shared<const ActiveConfig>(head, std::move(merge.configuration));
    std::lock_guard lock(mutex_);
    if (active_ && active_->head.generation >= head.generation)
        return false;
    active_ = std::move(next);
    return true;
}

} // namespace balsamreel::Node
