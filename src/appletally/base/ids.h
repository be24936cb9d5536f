// Strong types for names, numbers and sizes, so that passing a service where a route is expected does not compile.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace appletally::base {

// A name chosen by people or settings. `Tag` makes each kind of name a type of its own.
template <typename Tag>
struct Name {
    std::string text;
    auto operator<=>(const Name&) const = default;
    bool empty() const { return text.empty(); }
};

// A number assigned by the system.
template <typename Tag>
struct Number {
    uint64_t value = 0;
    auto operator<=>(const Number&) const = default;
};

using ClusterId = Name<struct ClusterTag>;
using HostId = Name<struct HostTag>; // one host: an upstream, its node, or a control process
using ZoneName = Name<struct ZoneTag>; // availability zone
using RegionName = Name<struct RegionTag>;
using ServiceName = Name<struct ServiceTag>;
using RouteName = Name<struct RouteTag>;
using UpstreamVersion = Name<struct UpstreamVersionTag>; // the software version of an upstream, as teams name it
using CallerId = Name<struct CallerTag>; // the calling party: a crew, an agent, a member, another service
using IdempotencyKey = Name<struct IdempotencyKeyTag>; // chosen by the caller to identify one request
using OperatorId = Name<struct OperatorTag>;
using RolloutId = Name<struct RolloutTag>;

using ConfigVersion = Number<struct ConfigVersionTag>; // log index at which a configuration was committed; 0: none
using LogIndex = Number<struct LogIndexTag>; // position in the replicated log; the first entry has 1
using Term = Number<struct TermTag>; // leader term of the replicated log
using ReplicaId = Number<struct ReplicaTag>; // random for each formatted data folder: after the loss of a disk, the replica is a new one
using RequestNumber = Number<struct RequestNumberTag>; // counted by each operator
using Incarnation = Number<struct IncarnationTag>; // one start of a process; later starts have higher numbers
using Sequence = Number<struct SequenceTag>; // counted within one incarnation
using KeeperSetNumber = Number<struct KeeperSetTag>; // number of a keeper set that control has agreed on
using RequestDigest = Number<struct RequestDigestTag>; // hash of what makes two requests the same: service, method, target, body
using AttemptId = Number<struct AttemptTag>; // one attempt of one request; random, never reused

struct Bytes {
    uint64_t count = 0;
    auto operator<=>(const Bytes&) const = default;
};

// A share of traffic in thousandths; 1000 is all traffic.
struct PerMille {
    int32_t value = 0;
    auto operator<=>(const PerMille&) const = default;
};

// Requests a second, in thousandths.
struct RequestRate {
    int64_t thousandths = 0;
    auto operator<=>(const RequestRate&) const = default;
    double perSecond() const { return static_cast<double>(thousandths) / 1000; }
};

// IPv4 address and port.
struct Address {
    std::string ip;
    uint16_t port = 0;
    auto operator<=>(const Address&) const = default;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

} // namespace appletally::base

template <typename Tag>
struct std::hash<appletally::base::Name<Tag>> {
    size_t operator()(const appletally::base::Name<Tag>& it) const { return std::hash<std::string> {}(it.text); }
};

template <typename Tag>
struct std::hash<appletally::base::Number<Tag>> {
    size_t operator()(const appletally::base::Number<Tag>& it) const { return std::hash<uint64_t> {}(it.value); }
};
