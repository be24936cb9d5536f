// RapidCheck properties with a fixed seed, so that CI repeats the same cases. FUZZ_SEED and FUZZ_CASES search further.
#pragma once

#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <string>

namespace fixed_seed {

inline uint64_t fromEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::stoull(text) : fallback;
}

// Returns true if all cases hold; otherwise prints the shrunk case on standard error.
template <typename Property>
bool holds(const std::string& name, uint64_t seed, int cases, int size, Property property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = fromEnvironment("FUZZ_SEED", seed);
    params.maxSuccess = static_cast<int>(fromEnvironment("FUZZ_CASES", static_cast<uint64_t>(cases)));
    params.maxSize = size;
    const rc::detail::TestResult result = rc::detail::checkTestable(property, metadata, params);
    const bool good = result.is<rc::detail::SuccessResult>();
    if (!good) {
        std::cerr << name << ", seed " << params.seed << ":\n";
        rc::detail::printResultMessage(result, std::cerr);
        std::cerr << std::endl;
    }
    return good;
}

} // namespace fixed_seed
