#include "balsamreel/Support/Hash.h"

namespace balsamreel::Support {

namespace {

// The finalizer of splitmix64.
std::uint32_t finalize(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<std::uint32_t>(value ^ (value >> 31U));
}

} // namespace

std::uint32_t stableHash(std::string_view bytes)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (char byte : bytes)
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    return finalize(hash);
}

} // namespace balsamreel::Support
