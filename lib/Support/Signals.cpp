#include "balsamreel/Support/Signals.h"

#include <csignal>
#include <pthread.h>

namespace balsamreel::Support {

namespace {

sigset_t terminationSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void blockTerminationSignals()
{
    auto set = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int waitForTerminationSignal()
{
    auto set = terminationSignals();
    int number = 0;
    sigwait(&set, &number);
    return number;
}

} // namespace balsamreel::Support
