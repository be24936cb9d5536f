// The parts that admission is made of. Internal to policy/; admission.h has the rules.
//
// Each part stands in a file of its own: what the upstream can take now (admission_slots.cpp), how long a request would
// wait (admission_forecast.cpp), who is refused and when to return (admission_refusal.cpp), and the queue with its events
// (admission.cpp).
#pragma once

#include "appletally/policy/admission.h"

namespace appletally::policy {

// Minimum share of the slots of each lower class while higher ones would take them all. Three such shares leave
// commands 70% of the slots; one slot of ten still runs an archive of half a second twice a second.
constexpr double minShare = 0.1;

// Long jobs use more slots only after this time without a short request.
constexpr base::Duration shortRequestMemory { 1000 };

// --- Slots ---

size_t classOf(const Admission&, const Arrival&);
int waitingCount(const Admission&);
bool isLong(base::Duration run);
int longRunning(const Admission&);
int longSlots(const Admission&, base::Time now); // that long jobs may hold now
bool slotFree(const Admission&, base::Duration run, base::Time now); // a request with this run may start
double usableSlots(const Admission&, base::Duration run); // that runs of this length can keep in use
void updateAverages(Admission&, base::Time now); // the moving means and the minimum share deficits
void countStart(Admission::Class&);
void countOvertaking(Admission::Class&, base::Duration run); // work that was queued ahead of the end of the queue

// --- Forecast ---

// Running totals for one walk through the queue, in starting order.
struct Forecast {
    double slots = 1; // for short requests
    double longSlots = 1;
    double untilSlotFree = 0; // milliseconds until the next slot is free
    double requestsAhead = 0; // all that start earlier
    double higherClassSlots = 0; // slots held by higher classes
    double higherClassRate = 0; // starts a second of higher classes
    double workAhead = 0; // slot-milliseconds of all requests that start earlier
    double longAhead = 0;
    double aheadInClass = 0;
};

Forecast forecastFor(const Admission&, base::Time now);
void enterClass(const Admission&, Forecast&, size_t classIndex);
void addWork(Forecast&, base::Duration run);

// Milliseconds until a request of the class starts after the work in the forecast.
double estimatedWait(const Admission&, const Forecast&, size_t classIndex, base::Duration run, base::Time now);
base::Duration rounded(double ms);

bool isTimely(const Admission&, const Admission::Waiting&, base::Time now);
std::vector<size_t> startOrder(const Admission&, const Admission::Class&, base::Time now); // queue positions
size_t countAheadOf(const Admission&, const Admission::Class&, const Admission::Waiting& fresh, size_t place, base::Time now);
base::Duration waitFor(const Admission&, size_t classIndex, size_t workAhead, base::Duration run, base::Time now);

// --- Refusal ---

base::Duration allowedWait(const Arrival&, base::Duration run, base::Time now);
Refusal refuse(Admission&, const Admission::Waiting&, base::Duration wait, base::Duration allowed, base::Time now);
void removeWaiting(Admission::Class&, size_t place); // of a request that will not run
std::vector<Refusal> refuseInfeasible(Admission&, base::Time now);
std::optional<Refusal> displaceLast(Admission&, Admission::Class&, double start, base::Time now);

} // namespace appletally::policy
