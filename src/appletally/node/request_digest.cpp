// XXH3 over the parts of a request; see request_digest.h.
#include "appletally/node/request_digest.h"

#include <cstdio>
#include <xxhash.h>

namespace appletally::node {

base::RequestDigest digestOf(const Call& it)
{
    // Each hash is the seed of the next one, so that text cannot move from one part to the next unnoticed.
    uint64_t out = 0;
    for (const std::string* part : { &it.service.text, &it.method, &it.target, &it.body })
        out = XXH3_64bits_withSeed(part->data(), part->size(), out);
    if (it.bodyBytes > 0) {
        const uint64_t large[] = { it.bodyBytes, it.bodyDigest };
        out = XXH3_64bits_withSeed(large, sizeof large, out);
    }
    return { out };
}

std::string digestText(base::RequestDigest it)
{
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(it.value));
    return out;
}

} // namespace appletally::node
