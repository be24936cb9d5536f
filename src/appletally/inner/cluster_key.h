// Mutual authentication on the inner ports: only holders of the cluster key get past the handshake.
//
// Each side computes a MAC over the other's fresh nonce, so that a recorded handshake cannot be replayed. The key
// authenticates but does not encrypt, so the inner network has to be a private one.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/base/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace appletally::inner {

constexpr size_t keyBytes = 32; // key size of libsodium's crypto_auth (HMAC-SHA512-256)
constexpr size_t nonceBytes = 32;
constexpr size_t macBytes = 32;

using Nonce = std::array<uint8_t, nonceBytes>;
using Mac = std::array<uint8_t, macBytes>;

struct ClusterKey {
    std::array<uint8_t, keyBytes> bytes {};
};

// The cluster that a process belongs to, and its credentials.
struct Membership {
    base::ClusterId cluster;
    ClusterKey key;
    base::HostId host; // of this process
};

enum class Side : uint8_t { Client = 1,
    Server = 2 }; // part of the MAC, so that a server's proof cannot be reflected as a client's

base::Result<ClusterKey> parseClusterKey(const std::string& hex); // 64 hex digits
Nonce generateNonce();
Mac makeProof(const Membership&, Side, const Nonce& client, const Nonce& server, std::string_view who);
bool verifyProof(const Membership&, Side, const Nonce& client, const Nonce& server, std::string_view who, const Mac&); // constant time
uint64_t randomNumber(); // never 0; for attempt ids, replica ids and tie-breaking between incarnations

} // namespace appletally::inner
