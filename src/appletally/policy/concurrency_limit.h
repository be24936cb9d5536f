// How many requests the upstream is given at once: its announced slots, lowered by what is seen.
//
// Load pattern: an upstream that slows down or sheds load although its slots are not all taken, because its host is
// busy or its own store is. Without it every slot stays full, each run takes longer, and thrashing costs throughput.
// The trap is an upstream that is merely slow: there fewer slots only lose throughput. So the limit is lowered as a
// trial, and kept only where the throughput of the trial shows no loss.
#pragma once

namespace appletally::policy {

struct ConcurrencyLimit {
    int announced = 10; // ceiling; at least 1
    int limit = 10; // in use; invariant: 1 <= limit <= announced

    // The window being measured: good answers that ended while all slots were taken.
    int answers = 0;
    double slowdownSum = 0; // sum of run time over run time on a quiet upstream

    // A trial under way, against what was measured before it.
    bool inTrial = false;
    int limitBeforeTrial = 0;
    int answersToSkip = 0; // of runs that began under the limit before; counted in, they would hide what the trial gains
    double slowdownBeforeTrial = 1;

    int holdWindowsLeft = 0; // windows without a new trial, after one that failed
    int nextHoldWindows = 4; // how long the next failed trial holds; doubles
};

// Each returns true where `limit` changed.
bool setAnnounced(ConcurrencyLimit&, int announced);
bool onShed(ConcurrencyLimit&, int running); // the upstream refused one, `running` at it together with that one
bool onGoodAnswer(ConcurrencyLimit&, double slowdown, bool slotsFull);

} // namespace appletally::policy
