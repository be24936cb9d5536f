// Parsing and proof of the cluster key, with libsodium.
#include "appletally/inner/cluster_key.h"

#include <sodium.h>

namespace appletally::inner {

base::Result<ClusterKey> parseClusterKey(const std::string& hex)
{
    ClusterKey out;
    size_t n = 0;
    const int rc = sodium_hex2bin(out.bytes.data(), out.bytes.size(), hex.data(), hex.size(), nullptr, &n, nullptr);
    if (rc != 0 || n != keyBytes || hex.size() != 2 * keyBytes)
        return base::fail(base::Code::SettingsOutOfRange, "expected 64 hex digits as the cluster's key");
    return out;
}

Nonce generateNonce()
{
    Nonce out;
    randombytes_buf(out.data(), out.size());
    return out;
}

static std::string proofInput(const Membership& membership, Side side, const Nonce& client, const Nonce& server, std::string_view who)
{
    std::string text(1, static_cast<char>(side));
    text.append(client.begin(), client.end());
    text.append(server.begin(), server.end());
    text.append(membership.cluster.text).push_back('\0');
    text.append(who);
    return text;
}

Mac makeProof(const Membership& membership, Side side, const Nonce& client, const Nonce& server, std::string_view who)
{
    const std::string text = proofInput(membership, side, client, server, who);
    Mac out;
    crypto_auth(out.data(), reinterpret_cast<const uint8_t*>(text.data()), text.size(), membership.key.bytes.data());
    return out;
}

bool verifyProof(const Membership& membership, Side side, const Nonce& client, const Nonce& server, std::string_view who, const Mac& mac)
{
    const std::string text = proofInput(membership, side, client, server, who);
    return crypto_auth_verify(mac.data(), reinterpret_cast<const uint8_t*>(text.data()), text.size(), membership.key.bytes.data()) == 0;
}

uint64_t randomNumber()
{
    uint64_t out = 0;
    while (out == 0)
        randombytes_buf(&out, sizeof out);
    return out;
}

} // namespace appletally::inner
