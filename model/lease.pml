/*
 * The planner's lease: two planners, one engine, orders that travel.
 *
 * Time runs in ticks. A lease is a record of the log; its offset is the
 * fencing number. It is free to take once LEASE ticks have passed. A holder
 * looks at the clock, then sends; an order arrives within FLIGHT ticks of its
 * sending, in any sequence. A planner may be paused between the look and the
 * sending for longer than any lease.
 *
 * CHECKING: the engine refuses an order with a number below the highest it
 * saw. It never applies an older order after a newer one, however long a
 * planner is paused and although nobody waits.
 *
 * Otherwise the engine applies whatever arrives, and a new holder waits until
 * the old one's last order must have arrived. With SHORT_PAUSES (a look and
 * its sending fall into one tick) the engine never applies an older order
 * after a newer one. With longer pauses that is lost, and a weaker property
 * holds: the engine ends with the newest holder's order, because a holder
 * states its order again when the engine reports another.
 *
 * Broken variants: NO_FENCING, NO_WAITING, NO_RESTATING.
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
byte until;                    /* its end */
bool flying[LEASES + 1];       /* orders on their way, by fencing number */
byte arriveBy[LEASES + 1];
byte applied, newest;          /* last applied, and highest applied */
byte sending;                  /* planners between look and sending */

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

#ifdef NO_RESTATING
#define WANTED(number) (newest < number)
#else
#define WANTED(number) (applied != number)
#endif

active [PLANNERS] proctype Planner() {
	byte mine, end, start;
	bool looked;
	do
	/* Take a free lease; the log's order decides between racing planners.
	   The holder of the last lease renews it for ever. */
	:: d_step { !looked && fence < LEASES && now >= until ->
		fence++; mine = fence;
#if defined(CHECKING) || defined(NO_WAITING)
		start = now;
#else
		start = (fence == 1 -> now : (now > until + FLIGHT -> now : until + FLIGHT));
#endif
		until = (fence == LEASES -> 2 * LAST_TICK : now + LEASE); end = until }
	/* Look at the clock, and at what the engine reports. */
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
#define DUE(n) (flying[n] && arriveBy[n] <= now)

active proctype Clock() {
	do
	/* Time stands still once the lease has long been free, until it is taken. */
	:: d_step { now < LAST_TICK && now <= until + FLIGHT && !DUE(1) && !DUE(2) && !DUE(LEASES) && NO_PAUSE -> now++ }
	od
}

#ifdef LIVENESS
/* Always enabled, so that a run in which all else has stopped is infinite. */
bool tick;
active proctype Idle() {
	do
	:: tick = !tick
	od
}

ltl settles { <> [] (fence == LEASES && applied == fence) }
#endif
