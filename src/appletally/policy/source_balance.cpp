// Excess and targets of handovers; see source_balance.h.
#include "appletally/policy/source_balance.h"

#include <algorithm>
#include <numeric>

namespace appletally::policy {
namespace {

    // Of the mean, which is not restored exactly since each move costs a reconnect.
    constexpr size_t toleratedPercentAbove = 10;
    constexpr size_t toleratedPercentBelow = 20; // of a source that returned, or is new

    constexpr size_t excessPerStep = 5; // one in five: in steps of 200 ms, 97 of 100 have moved after three seconds

    struct Room {
        const SourceLoad* source = nullptr;
        size_t subscribers = 0; // including those that are handed over now
    };

    bool isBalanced(const SourceLoad& own, std::span<const SourceLoad> others, size_t part)
    {
        if (own.subscribers <= part)
            return true;
        const bool tooMany = own.subscribers > part + part * toleratedPercentAbove / 100 + 1;
        return !tooMany && std::none_of(others.begin(), others.end(), [&](const SourceLoad& it) { return it.subscribers < part - part * toleratedPercentBelow / 100; });
    }

    // The target with the most room, of those in `zone` if that is not empty.
    Room* findRoom(std::vector<Room>& rooms, size_t part, const base::ZoneName& zone)
    {
        Room* best = nullptr;
        for (Room& it : rooms) {
            const bool eligible = it.subscribers < part && (zone.text.empty() || it.source->zone == zone);
            if (eligible && (!best || it.subscribers < best->subscribers))
                best = &it;
        }
        return best;
    }

} // namespace

std::vector<Handover> chooseHandovers(const SourceLoad& own, std::span<const SourceLoad> others, std::span<const SubscriberPlace> subscribers, uint64_t random)
{
    const size_t total = std::accumulate(others.begin(), others.end(), own.subscribers, [](size_t sum, const SourceLoad& it) { return sum + it.subscribers; });
    const size_t part = (total + others.size()) / (others.size() + 1); // rounded up
    if (isBalanced(own, others, part) || subscribers.empty())
        return {};
    const size_t count = (own.subscribers - part + excessPerStep - 1) / excessPerStep;
    std::vector<Room> rooms;
    for (const SourceLoad& it : others)
        rooms.push_back({ &it, it.subscribers });

    std::vector<Handover> out;
    std::vector<bool> chosen(subscribers.size());
    const auto handOver = [&](bool toOwnZone) {
        for (size_t n = 0; n < subscribers.size() && out.size() < count; ++n) {
            const size_t index = (random % subscribers.size() + n) % subscribers.size();
            const SubscriberPlace& it = subscribers[index];
            if (chosen[index] || (toOwnZone && (it.zone.text.empty() || it.zone == own.zone)))
                continue;
            Room* room = findRoom(rooms, part, toOwnZone ? it.zone : base::ZoneName {});
            if (!room)
                continue;
            ++room->subscribers;
            chosen[index] = true;
            out.push_back({ it.id, room->source->source });
        }
    };
    handOver(true);
    handOver(false);
    return out;
}

} // namespace appletally::policy
