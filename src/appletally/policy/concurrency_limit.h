// Adaptive concurrency limit of one upstream: its announced slots, lowered according to observed throughput.
//
// Load pattern: an upstream that slows down or sheds load although its slots are not all taken, because its host or its
// own store is busy. Without it every slot stays full, each run takes longer, and thrashing costs throughput. An
// upstream that is merely slow must keep its slots, since fewer slots only lose throughput there. So the limit is
// lowered in a trial, and kept only if the throughput of the trial shows no loss.
#pragma once

namespace appletally::policy {

struct ConcurrencyLimit {
    int announced = 10; // upper limit; at least 1
    int limit = 10; // in use; invariant: 1 <= limit <= announced

    // Current measurement window: good answers that ended while all slots were taken.
    int answers = 0;
    double slowdownSum = 0; // sum of run time over run time on an unloaded upstream

    // Current trial, and the measurement before it that it is compared with.
    bool inTrial = false;
    int limitBeforeTrial = 0;
    int answersToSkip = 0; // of runs that began under the previous limit; counted in, they would hide the gain of the trial
    double slowdownBeforeTrial = 1;

    int holdWindowsLeft = 0; // windows without a new trial after a failed one
    int nextHoldWindows = 4; // duration of the hold after the next failed trial; doubles
};

// Each returns true if `limit` changed.
bool setAnnounced(ConcurrencyLimit&, int announced);
bool onShed(ConcurrencyLimit&, int running); // the upstream rejected a request; `running` includes that one
bool onGoodAnswer(ConcurrencyLimit&, double slowdown, bool slotsFull);

} // namespace appletally::policy
