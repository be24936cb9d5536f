// Slots of tokens by age; see token_window.h.
#include "appletally/policy/token_window.h"

#include <algorithm>
#include <numeric>

namespace appletally::policy {
namespace {

    constexpr int64_t slotMs = tokenLifetime.ms / static_cast<int64_t>(TokenWindow::slotCount);

    int64_t sum(const std::array<int64_t, TokenWindow::slotCount>& slots) { return std::accumulate(slots.begin(), slots.end(), int64_t { 0 }); }

    size_t indexOf(int64_t slot) { return static_cast<size_t>(slot) % TokenWindow::slotCount; }

} // namespace

int64_t advance(TokenWindow& it, base::Time now)
{
    const int64_t current = now.ms / slotMs;
    const int64_t begun = std::clamp<int64_t>(current - it.newest, 0, TokenWindow::slotCount);
    for (int64_t n = 0; n < begun; ++n)
        it.unspent[indexOf(current - n)] = it.earned[indexOf(current - n)] = 0;
    it.newest = std::max(it.newest, current);
    return begun;
}

int64_t available(const TokenWindow& it) { return sum(it.unspent); }

void earn(TokenWindow& it, int64_t amount, int64_t limit)
{
    const int64_t part = std::clamp<int64_t>(limit - available(it), 0, amount);
    it.unspent[indexOf(it.newest)] += part;
    it.earned[indexOf(it.newest)] += part;
}

void spend(TokenWindow& it, int64_t amount)
{
    for (size_t age = TokenWindow::slotCount; age-- > 0 && amount > 0;) {
        int64_t& slot = it.unspent[indexOf(it.newest + static_cast<int64_t>(TokenWindow::slotCount - age))];
        const int64_t part = std::min(slot, amount);
        slot -= part;
        amount -= part;
    }
}

bool takeToken(TokenWindow& it, uint64_t random)
{
    const int64_t stake = std::min(available(it), wholeToken);
    if (stake < wholeToken && sum(it.earned) >= wholeToken)
        return false; // it will have a whole one
    spend(it, stake);
    return static_cast<int64_t>(random % wholeToken) < stake;
}

} // namespace appletally::policy
