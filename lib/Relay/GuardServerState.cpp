// What the guard learns of its server: announcements, leaves, health responses, and what the server states in its responses.
#include "balsamreel/Relay/AdmissionOptions.h"
#include "balsamreel/Relay/Guard.h"
#include "balsamreel/Relay/HttpText.h"
#include "balsamreel/Support/Numbers.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

constexpr auto discoveryInterval = std::chrono::milliseconds(200);
// A departing server may still report that it is healthy. The state persisted by an earlier process of the node shows
// that it leaves, but the store that holds it may be unavailable, so discovery does not wait longer than this.
constexpr auto maximumWaitForPersistedState = std::chrono::milliseconds(600);
// If the server does not report its slowdown within this time, the held attempts start without it.
constexpr auto probeTimeout = std::chrono::milliseconds(15);
// A server that does not respond to a health request in time may be cold, so it counts as cold until it is asked again.
constexpr Duration unansweredColdTime = std::chrono::milliseconds(200);
constexpr std::uint32_t ok = 200;

} // namespace

void Guard::onServerChange(const ServerStatus& before)
{
    const auto* ready = server_.ready();
    if (ready && (ready->instance != before.instance || ready->slots != announcedSlots_)) {
        announcedSlots_ = ready->slots;
        saturation_ = Admission::SaturationDetector(announcedSlots_);
        saturation_.restore(Support::monotonicNow(), persistedState_.lastSlotVerdict);
    }
    auto now = status();
    if (now == before)
        return;
    admission_.setOptions(admissionOptions(saturation_.usableSlots()));
    if (now.instance != before.instance) {
        log_.line(LogClass::Notable, "server-state", "service={} before={} now={} slots={}", now.service, before.instance, now.instance, now.slots);
        idleConnections_.clear();
        startPolicy_.reset();
        serverNotice_ = {};
        rateLimiter_ = Admission::RequestRateLimiter();
    }
    onStatusChange();
}

bool Guard::handleAnnouncement(const Announcement& announcement)
{
    auto before = status();
    bool isAccepted = server_.handleAnnouncement(announcement);
    onServerChange(before);
    if (isAccepted)
        recordColdTime(announcement);
    if (isAccepted && announcement.state == ServerState::Draining)
        setPersistedState({persistedState_.lastSlotVerdict, announcement.instance});
    return isAccepted;
}

void Guard::setPersistedState(PersistedServerState persistedState)
{
    if (persistedState == persistedState_)
        return;
    persistedState_ = std::move(persistedState);
    if (onPersistedStateChange)
        onPersistedStateChange();
}

// A departing server announces its departure only once and may continue to report that it is healthy, so a new process
// of the node takes the departure from the persisted state.
void Guard::restore(const PersistedServerState& persistedState)
{
    log_.line(LogClass::Notable, "notes-recalled", "last_slots={} left_instance={}", Support::nameOf(Admission::slotVerdictNames, persistedState.lastSlotVerdict), persistedState.departedInstance);
    auto before = status();
    hasRestoredState_ = true;
    // Values that this process has learned already are newer.
    if (persistedState_.lastSlotVerdict == Admission::SlotVerdict::Unknown)
        persistedState_.lastSlotVerdict = persistedState.lastSlotVerdict;
    if (persistedState_.departedInstance.empty())
        persistedState_.departedInstance = persistedState.departedInstance;
    const auto* current = server_.current();
    if (current && !server_.hasReported() && current->instance == persistedState.departedInstance)
        server_.handleLeave(persistedState.departedInstance, std::nullopt);
    if (saturation_.verdict() == Admission::SlotVerdict::Unknown)
        saturation_.restore(Support::monotonicNow(), persistedState.lastSlotVerdict);
    onServerChange(before);
    if (!healthPath_.empty())
        discover();
}

void Guard::setServiceConfig(const ServiceConfig& config)
{
    serviceConfig_ = config;
    updateColdOptions();
    setHealthPath(config.healthPath);
}

void Guard::setEvacuated(bool isEvacuated)
{
    if (isEvacuated == isEvacuated_)
        return;
    auto before = status();
    isEvacuated_ = isEvacuated;
    log_.line(LogClass::Notable, "domain-evacuated", "domain={} evacuated={} running={} guarded={}", settings_.domain, isEvacuated, runningAtServer_, attempts_.size());
    if (!isEvacuated)
        cold_.assumeCold(Support::monotonicNow(), Duration::zero());
    updateColdState();
    onServerChange(before);
    // Only now, so that the local entry sends the refused attempts elsewhere.
    if (isEvacuated)
        refuseWaiting(Reason::DomainEvacuated);
}

void Guard::updateColdOptions()
{
    cold_.setOptions(Support::monotonicNow(), {serviceConfig_.coldRequestsPerSecond, settings_.coldOverage, settings_.coldSlack, serviceConfig_.coldTime});
    updateColdState();
}

void Guard::updateColdState()
{
    auto before = status();
    if (!cold_.update(Support::monotonicNow()))
        return;
    log_.line(LogClass::Notable, "server-cold", "instance={} cold={} limit={} sent={}", before.instance, cold_.isCold(), serviceConfig_.coldRequestsPerSecond, sentCount_);
    onServerChange(before);
}

// A server that has started is cold for a known time, whatever its first announcements say.
void Guard::recordColdTime(const Announcement& announcement)
{
    auto now = Support::monotonicNow();
    cold_.report(now, announcement.coldTime);
    if (announcement.processStartMillis > 0) {
        Duration startedAt = std::chrono::milliseconds(announcement.processStartMillis);
        cold_.assumeCold(now, std::max(Duration::zero(), Duration(Support::wallMicros()) - startedAt));
    }
    updateColdState();
}

std::optional<Duration> Guard::statedColdTime(const HttpResponse& response) const
{
    auto value = response.fields[boost::beast::string_view(names_.coldMillis.data(), names_.coldMillis.size())];
    auto millis = Support::parseNumber<std::uint32_t>(std::string_view(value.data(), value.size()));
    return millis ? std::optional<Duration>(std::chrono::milliseconds(*millis)) : std::nullopt;
}

void Guard::setHealthPath(const std::string& path)
{
    bool isFirst = healthPath_.empty() && !path.empty();
    healthPath_ = path;
    if (!isFirst)
        return;
    if (hasRestoredState_)
        return discover();
    discoveryTimer_.expires_after(maximumWaitForPersistedState);
    discoveryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            discover();
    });
}

// A node that starts beside a running server queries it for its instance id, because its next announcement may be more
// than a second away. A departing server normally reports that it is unhealthy.
void Guard::discover()
{
    if (server_.current() || server_.hasReported() || isClosed_)
        return;
    discoveryConnection_ = std::make_shared<HttpClientConnection>(loop_, settings_.server, responseMemory_);
    Request request;
    request.method = "GET";
    request.target = healthPath_;
    request.host = settings_.server.text();
    discoveryConnection_->exchange(serializeRequest(request, {}), {}, false, [this](const HttpResult& result) { onDiscoveryResponse(result); });
    discoveryTimer_.expires_after(discoveryInterval);
    discoveryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled)
            return;
        discoveryConnection_->close();
        discover();
    });
}

void Guard::onDiscoveryResponse(const HttpResult& result)
{
    const auto* response = std::get_if<HttpResponse>(&result);
    if (!response || response->status != ok || server_.current() || server_.hasReported())
        return;
    auto value = [&](const std::string& name) {
        auto text = response->fields[boost::beast::string_view(name.data(), name.size())];
        return std::string(text.data(), text.size());
    };
    auto load = readers_.load(value(names_.load));
    auto instance = value(names_.instance);
    if (instance.empty() || instance == persistedState_.departedInstance || !load || load->slots == 0)
        return;
    auto notice = readers_.notice(response->fields);
    if (notice && notice->isLeaving)
        return handleLeaveStatement({instance, 0});
    auto before = status();
    server_.discover(instance, load->slots);
    onServerChange(before);
    updateNoticeFromHealth(*response);
}

// A process whose start is not known has started before now, so its announcements that are still under way are outdated.
void Guard::handleLeave(const std::string& instance, std::optional<std::int64_t> processStartMillis)
{
    constexpr std::int64_t microsPerMilli = 1000;
    auto before = status();
    auto current = currentProcess();
    bool isStartKnown = current.instance == instance && current.startMillis > 0;
    auto latestStart = isStartKnown ? current.startMillis : Support::wallMicros() / microsPerMilli;
    server_.handleLeave(instance, processStartMillis.value_or(latestStart));
    onServerChange(before);
    setPersistedState({persistedState_.lastSlotVerdict, instance});
}

// Probes the server for its slowdown, as often as the observation interval of the probe budget allows.
void Guard::probeSlowdown()
{
    if (isProbing_ || isProbeScheduled_)
        return;
    if (healthPath_.empty()) {
        startPolicy_.setUnobservable();
        return releaseHeld();
    }
    auto now = Support::monotonicNow();
    auto next = lastProbeAt_ + startPolicy_.observationInterval();
    if (now < next) {
        isProbeScheduled_ = true;
        probeTimer_.expires_after(next - now);
        probeTimer_.async_wait([this](const boost::system::error_code& cancelled) {
            isProbeScheduled_ = false;
            if (!cancelled && !held_.empty())
                probeSlowdown();
        });
        return;
    }
    lastProbeAt_ = now;
    isProbing_ = true;
    if (!probeConnection_ || !probeConnection_->isReusable(now))
        probeConnection_ = std::make_shared<HttpClientConnection>(loop_, settings_.server, responseMemory_);
    Request request;
    request.method = "GET";
    request.target = healthPath_;
    request.host = settings_.server.text();
    probeTimer_.expires_after(probeTimeout);
    probeTimer_.async_wait([this, connection = probeConnection_](const boost::system::error_code& cancelled) {
        if (cancelled || !isProbing_ || connection != probeConnection_)
            return;
        probeConnection_->close();
        onProbeResult(HttpFailure::ConnectionLost);
    });
    probeConnection_->exchange(serializeRequest(request, {}), {}, false, [this, connection = probeConnection_.get()](const HttpResult& result) {
        if (connection == probeConnection_.get() && isProbing_)
            onProbeResult(result);
    });
}

void Guard::onProbeResult(const HttpResult& result)
{
    isProbing_ = false;
    probeTimer_.cancel();
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response) {
        updateNoticeFromHealth(*response);
        // Also if the response is another process's: held attempts must not wait for an announcement.
        cold_.report(Support::monotonicNow(), std::nullopt);
        auto load = response->fields[boost::beast::string_view(names_.load.data(), names_.load.size())];
        if (!updateSlowdownState({load.data(), load.size()}))
            startPolicy_.setUnobservable();
    } else {
        if (cold_.needsReport()) {
            cold_.assumeCold(Support::monotonicNow(), serviceConfig_.coldTime - unansweredColdTime);
            updateColdState();
        }
        // Without a response there is no reason to hold attempts.
        auto tickets = std::move(held_);
        held_.clear();
        for (auto ticket : tickets)
            start(ticket);
    }
    releaseHeld();
}

bool Guard::updateSlowdownState(std::string_view load)
{
    auto report = readers_.load(load);
    if (!report)
        return false;
    auto now = Support::monotonicNow();
    startPolicy_.recordSlowdown(now, report->slowdownPercent);
    bool isSlowed = startPolicy_.slowdownState(now) == SlowdownState::Slowed;
    if (isSlowed == isSlowed_)
        return true;
    isSlowed_ = isSlowed;
    onSlowdownChange();
    if (!isSlowed)
        releaseHeld();
    return true;
}

ServerProcess Guard::currentProcess() const
{
    const auto* current = server_.current();
    return current ? ServerProcess{current->instance, current->processStartMillis} : ServerProcess();
}

bool Guard::isCurrent(const ServerProcess& process) const
{
    auto current = currentProcess();
    bool mayHaveStartedTogether = process.startMillis == current.startMillis || process.startMillis == 0 || current.startMillis == 0;
    return !process.instance.empty() && process.instance == current.instance && mayHaveStartedTogether;
}

// Every response of the server repeats its limit while the limit holds, so a response without one ends it.
void Guard::updateNotice(std::string_view source, const ServerProcess& process, const HttpResponse& response)
{
    auto notice = readers_.notice(response.fields);
    if (!notice || *notice == serverNotice_ || !isCurrent(process))
        return;
    log_.line(LogClass::Notable, "server-notice", "instance={} source={} limit_before={} limit={} leaving={} sent={}", process.instance, source, serverNotice_.requestsPerSecond.value_or(-1), notice->requestsPerSecond.value_or(-1), notice->isLeaving, sentCount_);
    serverNotice_ = *notice;
    rateLimiter_.setLimit(Support::monotonicNow(), notice->requestsPerSecond);
    if (notice->isLeaving)
        handleLeaveStatement(process);
}

void Guard::updateNoticeFromHealth(const HttpResponse& response)
{
    auto instance = response.fields[boost::beast::string_view(names_.instance.data(), names_.instance.size())];
    auto process = currentProcess();
    if (std::string_view(instance.data(), instance.size()) != process.instance)
        return;
    cold_.report(Support::monotonicNow(), statedColdTime(response));
    updateColdState();
    updateNotice("health", process, response);
}

// A server may say first, or only, in its responses that it leaves.
void Guard::handleLeaveStatement(const ServerProcess& process)
{
    handleLeave(process.instance, process.startMillis > 0 ? std::optional(process.startMillis) : std::nullopt);
}

} // namespace balsamreel::Relay
