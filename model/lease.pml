/*
 * The planner's lease: two planners send orders to one engine over a network
 * with delay.
 *
 * Time passes in ticks. A lease is a record of the log; its offset is the
 * fencing number. A lease expires after LEASE ticks and may then be taken by a
 * planner; only the last of the LEASES leases outlasts the run. A holder reads the clock and then sends an order, which arrives within
 * FLIGHT ticks. Orders may overtake each other. A planner may be paused between
 * reading the clock and sending for longer than any lease.
 *
 * CHECKING: the engine rejects an order whose fencing number is below the
 * highest that it has seen. It never applies an older order after a newer one,
 * however long a planner is paused, although new holders do not wait.
 *
 * Without CHECKING the engine applies every order that arrives, and a new holder
 * waits until the previous holder's last order must have arrived. With
 * SHORT_PAUSES (reading the clock and sending fall into one tick) the engine
 * never applies an older order after a newer one. With longer pauses this does
 * not hold, but a weaker property does: the engine ends with the newest holder's
 * order, because the holder sends its order again if the engine reports another
 * one.
 *
 * Broken variants (described in properties.txt): NO_FENCING, NO_WAITING, NO_RESTATING.
 */
#define PLANNERS 2
#define LEASE 2
#define FLIGHT 1
#ifdef LIVENESS
#define LEASES 2
#else
#define LEASES 3
#endif
#define LAST_TICK 12
#define NONE 0

byte now;
byte fence;                    /* number of the newest lease; 0 before any */
byte until;                    /* the end of that lease */
bool flying[LEASES + 1];       /* orders in transit, by fencing number */
byte arriveBy[LEASES + 1];
byte applied, newest;          /* last and highest fencing number applied */
byte sending;                  /* planners between reading the clock and sending */

inline apply(number) {
	flying[number] = false; arriveBy[number] = 0;
#if defined(CHECKING) && !defined(NO_FENCING)
	if
	:: number >= newest -> applied = number
	:: else
	fi;
#else
	applied = number;
#endif
#ifndef LIVENESS
	assert(applied >= newest);  /* no older order after a newer one */
#endif
	newest = (applied > newest -> applied : newest)
}

/* Whether the holder of the lease sends its order, for the first time or again. */
#ifdef NO_RESTATING
#define WANTED(number) (newest < number)
#else
#define WANTED(number) (applied != number)
#endif

active [PLANNERS] proctype Planner() {
	byte mine, end, start;
	bool looked;
	do
	/* Take a lease that is free. The order of the log decides between planners
	   that race. The holder of the last lease renews it for ever. */
	:: d_step { !looked && fence < LEASES && now >= until ->
		fence++; mine = fence;
#if defined(CHECKING) || defined(NO_WAITING)
		start = now;
#else
		start = (fence == 1 -> now : (now > until + FLIGHT -> now : until + FLIGHT));
#endif
		until = (fence == LEASES -> 2 * LAST_TICK : now + LEASE); end = until }
	/* Read the clock and the engine's report. */
	:: d_step { !looked && mine != NONE && now >= start && now < end && !flying[mine] && WANTED(mine) -> looked = true; sending++ }
	:: d_step { looked ->
		looked = false; sending--;
		flying[mine] = true; arriveBy[mine] = now + FLIGHT }
	od
}

active proctype Network() {
	do
	:: atomic { flying[1] -> apply(1) }
	:: atomic { flying[2] -> apply(2) }
	:: atomic { flying[LEASES] -> apply(LEASES) }
	od
}

#ifdef SHORT_PAUSES
#define NO_PAUSE (sending == 0)
#else
#define NO_PAUSE true
#endif
/* Whether an order must arrive before time passes. */
#define DUE(n) (flying[n] && arriveBy[n] <= now)

active proctype Clock() {
	do
	/* Once the lease has been free for more than FLIGHT ticks, time stops until
	   the lease is taken. */
	:: d_step { now < LAST_TICK && now <= until + FLIGHT && !DUE(1) && !DUE(2) && !DUE(LEASES) && NO_PAUSE -> now++ }
	od
}

#ifdef LIVENESS
/* Always enabled, so that a run in which every other process has stopped is
   infinite. */
bool tick;
active proctype Idle() {
	do
	:: tick = !tick
	od
}

ltl settles { <> [] (fence == LEASES && applied == fence) }
#endif
