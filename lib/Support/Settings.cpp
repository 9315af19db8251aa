#include "balsamreel/Support/Settings.h"

#include "balsamreel/Support/Numbers.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <popt.h>

namespace balsamreel::Support {

namespace {

constexpr int helpCode = 1;
constexpr int versionCode = 2;
constexpr int firstSettingCode = 100;
constexpr const char* versionText = "0.1.0";

std::string checkRange(const SettingSpec& spec, double number)
{
    if (number >= spec.minimum && number <= spec.maximum)
        return {};
    return fmt::format("--{} must be between {} and {} {}, not {}", spec.flag, spec.minimum, spec.maximum, spec.unit, number);
}

std::string checkText(const SettingSpec& spec, const std::string& value)
{
    if (spec.choices.empty() || std::ranges::find(spec.choices, value) != spec.choices.end())
        return {};
    return fmt::format("--{} must be one of {}, not '{}'", spec.flag, fmt::join(spec.choices, ", "), value);
}

std::string checkValue(const SettingSpec& spec, const std::string& value)
{
    switch (spec.kind) {
    case SettingKind::Text:
        return checkText(spec, value);
    case SettingKind::Switch:
        if (value == "0" || value == "1")
            return {};
        return fmt::format("--{} must be 0 or 1, not '{}'", spec.flag, value);
    case SettingKind::Integer: {
        auto number = parseNumber<std::int64_t>(value);
        return number ? checkRange(spec, static_cast<double>(*number)) : fmt::format("--{} must be a whole number, not '{}'", spec.flag, value);
    }
    case SettingKind::Real: {
        auto number = parseNumber<double>(value);
        return number ? checkRange(spec, *number) : fmt::format("--{} must be a number, not '{}'", spec.flag, value);
    }
    case SettingKind::Endpoint:
        return parseEndpoint(value) ? std::string() : fmt::format("--{} must be IP:PORT, not '{}'", spec.flag, value);
    case SettingKind::EndpointList:
        return parseEndpoints(value) ? std::string() : fmt::format("--{} must be a comma-separated list of IP:PORT, not '{}'", spec.flag, value);
    }
    return {};
}

std::vector<poptOption> buildOptions(const std::vector<SettingSpec>& specs)
{
    std::vector<poptOption> options;
    options.push_back({"help", 'h', POPT_ARG_NONE, nullptr, helpCode, nullptr, nullptr});
    options.push_back({"version", 0, POPT_ARG_NONE, nullptr, versionCode, nullptr, nullptr});
    int code = firstSettingCode;
    for (const auto& spec : specs) {
        unsigned type = spec.kind == SettingKind::Switch ? POPT_ARG_NONE : POPT_ARG_STRING;
        options.push_back({spec.flag.c_str(), 0, type, nullptr, code++, nullptr, nullptr});
    }
    options.push_back(POPT_TABLEEND);
    return options;
}

struct ContextDeleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPointer = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

} // namespace

std::string Settings::text(const std::string& flag) const
{
    auto found = values_.find(flag);
    return found == values_.end() ? std::string() : found->second;
}

std::int64_t Settings::integer(const std::string& flag) const
{
    auto number = parseNumber<std::int64_t>(text(flag));
    assert(number && "the setting has neither value nor default");
    return number.value_or(0);
}

double Settings::real(const std::string& flag) const
{
    auto number = parseNumber<double>(text(flag));
    assert(number && "the setting has neither value nor default");
    return number.value_or(0);
}

bool Settings::isOn(const std::string& flag) const
{
    return text(flag) == "1";
}

Endpoint Settings::endpoint(const std::string& flag) const
{
    auto endpoint = parseEndpoint(text(flag));
    assert(endpoint && "the setting has neither value nor default");
    return endpoint.value_or(Endpoint());
}

std::optional<Endpoint> Settings::optionalEndpoint(const std::string& flag) const
{
    return parseEndpoint(text(flag));
}

std::vector<Endpoint> Settings::endpoints(const std::string& flag) const
{
    return parseEndpoints(text(flag)).value_or(std::vector<Endpoint>());
}

/// Fills Settings from defaults, environment variables and flags, in this order, so that later sources take precedence.
class SettingsReader {
public:
    explicit SettingsReader(const std::vector<SettingSpec>& specs)
        : specs_(specs)
    {
        for (const auto& spec : specs_) {
            if (!spec.fallback.empty())
                result_.settings.values_[spec.flag] = spec.fallback;
            const char* value = spec.environment.empty() ? nullptr : std::getenv(spec.environment.c_str());
            if (value)
                result_.settings.values_[spec.flag] = value;
        }
    }

    SettingsResult read(int argumentCount, const char** arguments)
    {
        auto options = buildOptions(specs_);
        ContextPointer context(poptGetContext(nullptr, argumentCount, arguments, options.data(), 0));
        int code = 0;
        while ((code = poptGetNextOpt(context.get())) > 0)
            take(code, context.get());
        if (code < -1)
            result_.error = fmt::format("{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code));
        for (const char** rest = poptGetArgs(context.get()); rest && *rest; ++rest)
            result_.settings.arguments_.emplace_back(*rest);
        if (result_.error.empty())
            check();
        return std::move(result_);
    }

private:
    void take(int code, poptContext context)
    {
        if (code == helpCode)
            result_.wantsHelp = true;
        if (code == versionCode)
            result_.wantsVersion = true;
        if (code < firstSettingCode)
            return;
        const auto& spec = specs_[static_cast<std::size_t>(code - firstSettingCode)];
        char* value = poptGetOptArg(context);
        result_.settings.values_[spec.flag] = value ? value : "1";
        std::free(value);
    }

    void check()
    {
        for (const auto& spec : specs_) {
            auto found = result_.settings.values_.find(spec.flag);
            bool isSet = found != result_.settings.values_.end();
            if (!isSet && spec.isRequired && result_.error.empty())
                result_.error = fmt::format("--{} (or {}) must be set", spec.flag, spec.environment);
            if (!isSet || !result_.error.empty())
                continue;
            result_.error = checkValue(spec, found->second);
        }
    }

    const std::vector<SettingSpec>& specs_;
    SettingsResult result_;
};

SettingsResult parseSettings(const std::vector<SettingSpec>& specs, int argumentCount, const char** arguments)
{
    return SettingsReader(specs).read(argumentCount, arguments);
}

std::string helpText(const ProgramInfo& program, const std::vector<SettingSpec>& specs)
{
    auto text = fmt::format("usage: {} [options] {}\n{}\n\noptions (each also an environment variable):\n", program.name, program.arguments, program.summary);
    for (const auto& spec : specs) {
        text += fmt::format("  --{:<20} {:<28} {}", spec.flag, spec.environment, spec.help);
        if (spec.kind == SettingKind::Integer || spec.kind == SettingKind::Real)
            text += fmt::format(" [{}..{} {}]", spec.minimum, spec.maximum, spec.unit);
        if (!spec.choices.empty())
            text += fmt::format(" [{}]", fmt::join(spec.choices, "|"));
        if (!spec.fallback.empty())
            text += fmt::format(" (default {})", spec.fallback);
        text += spec.isRequired ? " (required)\n" : "\n";
    }
    return text + "  --help\n  --version\n";
}

Settings readSettings(const ProgramInfo& program, const std::vector<SettingSpec>& specs, int argumentCount, const char** arguments)
{
    auto result = parseSettings(specs, argumentCount, arguments);
    if (result.wantsHelp) {
        fmt::print("{}", helpText(program, specs));
        std::exit(0);
    }
    if (result.wantsVersion) {
        fmt::print("{} {}\n", program.name, versionText);
        std::exit(0);
    }
    if (!result.error.empty()) {
        fmt::print(stderr, "{}: {}\n", program.name, result.error);
        std::exit(usageErrorStatus);
    }
    return std::move(result.settings);
}

} // namespace balsamreel::Support
