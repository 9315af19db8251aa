#include "balsamreel/Config/StartupHeadSelection.h"

namespace balsamreel::Config {

void StartupHeadSelection::addHead(const std::string& domain, Head head)
{
    domains_.insert(domain);
    if (head.generation > newest_.generation)
        newest_ = std::move(head);
}

bool StartupHeadSelection::isDecided(Support::Instant now) const
{
    if (newest_.generation == 0)
        return false;
    return domains_.size() >= options_.sufficientDomains || now - startedAt_ >= options_.timeout;
}

} // namespace balsamreel::Config
