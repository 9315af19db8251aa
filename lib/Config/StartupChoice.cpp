#include "balsamreel/Config/StartupChoice.h"

namespace balsamreel::Config {

void StartupChoice::offer(const std::string& domain, Head head)
{
    domains_.insert(domain);
    if (head.generation > newest_.generation)
        newest_ = std::move(head);
}

bool StartupChoice::isSettled(Support::Instant now) const
{
    if (newest_.generation == 0)
        return false;
    return domains_.size() >= options_.wantedDomains || now - startedAt_ >= options_.patience;
}

} // namespace balsamreel::Config
