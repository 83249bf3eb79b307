/*
 * Fair dispatch on a small scale: start-time fair queueing of ORGANISATIONS for
 * one slot. The cost of a request is unknown until the request ends. The
 * organisation is charged an estimate when the slot is granted, and the
 * difference when the request ends.
 *
 * Counters are relative to the virtual time, which is the lowest counter of an
 * active organisation (one that has a waiting or running request), so that the
 * state space is finite. If a request of an
 * idle organisation arrives, the organisation's counter is raised to the virtual
 * time.
 *
 * Safety: while organisations 0 and 1 both wait, the service that they have
 * received since both began to wait differs by at most 2 x MAX_COST. Liveness
 * (weak fairness): a waiting organisation is served. This is checked for
 * organisation 2. The organisations differ only in the variant URGENCY_FIRST,
 * in which organisation 2 is the least urgent, and in the choice between equal
 * counters, in which it comes last.
 *
 * Broken variants (described in properties.txt): SAVED_CREDIT, URGENCY_FIRST.
 */
#define ORGANISATIONS 3
#define MAX_COST 2
#define ESTIMATE 1
#define BOUND (2 * MAX_COST)
#define HIGH 20                /* upper limit of a counter */
#define NONE ORGANISATIONS
/* FLOOR is the lower limit of a counter. */
#ifdef SAVED_CREDIT
#define FLOOR (-12)
#else
#define FLOOR 0
#endif

short counters[ORGANISATIONS];
bool waiting[ORGANISATIONS];
byte running = NONE;
short gap;                  /* service of organisation 0 minus that of 1 */

/* Makes all counters relative to the present virtual time, within their limits. */
inline follow() {
	low = HIGH + 1;
	for (i : 0 .. ORGANISATIONS - 1) {
		if
		:: (waiting[i] || running == i) && counters[i] <= low -> low = counters[i]
		:: else
		fi
	}
	if
	:: low > HIGH -> low = 0
	:: else
	fi;
	for (i : 0 .. ORGANISATIONS - 1) {
		counters[i] = (counters[i] - low > FLOOR -> counters[i] - low : FLOOR);
		counters[i] = (counters[i] > HIGH -> HIGH : counters[i])
	}
	i = 0; low = 0
}

proctype Caller(byte c) {
	do
	:: d_step { !waiting[c] ->
#ifndef SAVED_CREDIT
		counters[c] = (counters[c] > 0 -> counters[c] : 0);
#endif
		waiting[c] = true }
	od
}

inline choose() {
	best = NONE;
	for (i : 0 .. ORGANISATIONS - 1) {
		if
#ifdef URGENCY_FIRST
		:: waiting[i] && best == NONE -> best = i    /* organisation 0 is the most urgent */
#else
		:: waiting[i] && (best == NONE || counters[i] < counters[best]) -> best = i
#endif
		:: else
		fi
	}
	i = 0
}

proctype Dispatcher() {
	byte i, best, cost;
	short low;
	do
	:: atomic { running == NONE && (waiting[0] || waiting[1] || waiting[2]) ->
		choose();
		running = best;
		counters[running] = counters[running] + ESTIMATE;
		if
		:: true                              /* another request of it waits */
		:: waiting[running] = false
		fi;
		if
		:: !waiting[0] || !waiting[1] -> gap = 0
		:: else
		fi;
		best = 0;
		follow() }
	:: atomic { running != NONE ->
		if
		:: cost = 1
		:: cost = MAX_COST
		fi;
		counters[running] = counters[running] + cost - ESTIMATE;
		if
		:: waiting[0] && waiting[1] && running == 0 -> gap = gap + cost
		:: waiting[0] && waiting[1] && running == 1 -> gap = gap - cost
		:: else
		fi;
#ifdef LIVENESS
		gap = 0;                             /* the liveness property doesn't read it */
#endif
		assert(gap <= BOUND && gap >= -BOUND);
		running = NONE; cost = 0;
		follow() }
	od
}

init {
	atomic {
		run Caller(0); run Caller(1); run Caller(2);
		run Dispatcher()
	}
}

#ifdef LIVENESS
ltl served { [] (waiting[2] -> <> (running == 2)) }
#endif
