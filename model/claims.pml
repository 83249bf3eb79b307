/*
 * Claims: a non-idempotent request runs at most once.
 *
 * One key. CLAIMS routers each hold one claim for it (a caller that sent the
 * request again through other routers). WRITERS writers append claims to the
 * log on their behalf and grant what they have read. The holder of the key is
 * the unreleased claim with the lowest original offset; a pure function of
 * the records, whatever prefix of the log has been forgotten.
 *
 * Faults: an append may land at once, later, or never, and its answer is
 * never relied on, so that a lost answer is no case of its own; the same claim
 * may be appended twice; claimants may pause anywhere or stop for ever (safety holds
 * of every prefix of a run, so a claimant that takes no further step covers
 * both); writers restart with empty state; the log forgets
 * records from its oldest end.
 *
 * Assumed of time: every record names its claim's deadline, and a record that
 * lands after it is void for every reader (the log stamps each append); the
 * log keeps records for longer than any deadline. So retention drops nothing
 * while an append is on its way, and a claim whose record was dropped can no
 * longer be released. The holder's claim is carried forward before the log
 * forgets it.
 *
 * Broken variants (one -D each): TRANSFER, GRANT_BEFORE_READING, NO_CARRY,
 * CARRY_AT_NEW_OFFSET, LOSERS_VOID, LATE_RELEASE,
 * RELEASE_AFTER_SENDING.
 */
#define CLAIMS 3
#define WRITERS 2
#define CAPACITY 5
#define NONE 15

mtype { Absent, Claim, Release, Carry };
mtype { Asking, Sent, GivenUp };

mtype kinds[CAPACITY] = Absent;
byte claims[CAPACITY];
byte origins[CAPACITY];
byte oldest, next;

mtype states[CLAIMS] = Asking;
bool asked[CLAIMS], granted[CLAIMS];
bool lateClaim[CLAIMS], lateRelease[CLAIMS];
byte spareAppends = 1, spareCarries = 1, spareRestarts = 1, spareLate = 1;

/* Observers, read by assertions and by retention only. */
byte runs;
bool released[CLAIMS], expired[CLAIMS];
byte firstOffset[CLAIMS] = NONE;

#define HOLDER(first, gone) \
	holder = NONE; \
	for (i : 0 .. CLAIMS - 1) { \
		if \
		:: first[i] != NONE && !gone[i] && (holder == NONE || first[i] < first[holder]) -> holder = i \
		:: else \
		fi \
	} \
	i = 0

inline append(k, c, origin) {
	kinds[next] = k;
	claims[next] = c;
	origins[next] = origin;
	if
	:: k == Release -> released[c] = true
	:: k == Claim && firstOffset[c] == NONE -> firstOffset[c] = next
	:: else
	fi;
	next++
}

proctype Claimant(byte c) {
	bool sure;
	do
	:: atomic { granted[c] ->
		runs++;
		assert(runs <= 1);           /* at most one run per key */
		states[c] = Sent }
#ifdef RELEASE_AFTER_SENDING
		if
		:: sure = true; goto giveUp
		:: goto done
		fi
#else
		goto done
#endif
	:: atomic { granted[c] -> sure = true; goto giveUp }
	:: atomic { asked[c] && !granted[c] -> sure = false; goto giveUp }
	od;
giveUp:
	atomic {
		assert(!sure || runs == 0);          /* "not run" is true */
		states[c] = GivenUp;
		if
#ifdef LATE_RELEASE
		:: next < CAPACITY -> append(Release, c, next)
#else
		:: next < CAPACITY && !expired[c] -> append(Release, c, next)
#endif
		:: !expired[c] && spareLate > 0 -> spareLate--; lateRelease[c] = true
		:: true                               /* the append vanished */
		fi;
		goto done
	}
done:
	skip
}

/*
 * A writer reads to the end of the log in one step; reading less is the same
 * as having read earlier. It grants in the same step, since the claimant may
 * take the grant at any later time.
 */
proctype Writer() {
	byte position, i, c, holder, spot;
	bool ready;                 /* has read to the end since its start */
	bool gone[CLAIMS];
	byte first[CLAIMS] = NONE;
	do
	:: d_step { (position < next || !ready) ->
		if
		:: position < oldest ->  /* a hole: begin again, as after a restart */
			position = oldest;
			for (i : 0 .. CLAIMS - 1) { first[i] = NONE; gone[i] = false }
		:: else
		fi;
		do
		:: position < next ->
			c = claims[position];
			if
			:: kinds[position] == Release -> gone[c] = true
			:: else ->
				spot = origins[position];
#ifdef LOSERS_VOID
				HOLDER(first, gone);
				if
				:: kinds[position] == Claim && holder != NONE && holder != c -> spot = NONE
				:: else
				fi;
#endif
				if
				:: spot < first[c] -> first[c] = spot
				:: else
				fi
			fi;
			position++
		:: else -> break
		od;
		ready = true;
		HOLDER(first, gone);
		if
		:: holder != NONE && states[holder] == Asking -> granted[holder] = true
		:: else
		fi;
		i = 0; c = 0; spot = 0; holder = 0 }
	:: d_step { ready && spareRestarts > 0 ->
		spareRestarts--; ready = false; position = oldest;
		for (i : 0 .. CLAIMS - 1) { first[i] = NONE; gone[i] = false }
		i = 0 }
	:: atomic { next < CAPACITY -> select(c : 0 .. CLAIMS - 1);
		if
		/* Claims are alike, so they are asked for in their order. */
		:: states[c] == Asking && !granted[c] && (asked[c] && spareAppends > 0 || !asked[c] && (c == 0 || asked[c - 1])) ->
			if
			:: asked[c] -> spareAppends--
			:: else -> asked[c] = true
			fi;
#ifdef GRANT_BEFORE_READING
			HOLDER(first, gone);
			if
			:: holder == NONE -> granted[c] = true
			:: else
			fi;
			holder = 0;
#endif
			if
			:: append(Claim, c, next)
			:: spareLate > 0 -> spareLate--; lateClaim[c] = true
			fi
		:: else
		fi;
		c = 0 }
#ifdef TRANSFER
	:: atomic { ready -> HOLDER(first, gone); select(c : 0 .. CLAIMS - 1);
		if
		:: holder != NONE && first[c] != NONE && states[c] == Asking -> granted[c] = true
		:: else
		fi;
		holder = 0; c = 0 }
#endif
	:: atomic { ready && spareCarries > 0 && next < CAPACITY ->
		HOLDER(first, gone);
		if
		:: holder != NONE -> spareCarries--;
#ifdef CARRY_AT_NEW_OFFSET
			append(Carry, holder, next)
#else
			append(Carry, holder, first[holder])
#endif
		:: else
		fi;
		holder = 0 }
	od
}

/* Late appends and the log's retention. */
active proctype Log() {
	byte i, holder;
	bool carried;
	do
	:: atomic { next < CAPACITY -> select(i : 0 .. CLAIMS - 1);
		if
		:: lateClaim[i] -> lateClaim[i] = false; append(Claim, i, next)
		:: lateRelease[i] -> lateRelease[i] = false; append(Release, i, next)
		:: else
		fi;
		i = 0 }
	:: d_step { oldest < next ->
		HOLDER(firstOffset, released);
		carried = false;
		for (i : 0 .. CAPACITY - 1) {
			if
			:: i > oldest && kinds[i] == Carry && claims[i] == holder -> carried = true
			:: else
			fi
		}
		if
#ifndef NO_CARRY
		:: kinds[oldest] != Release && claims[oldest] == holder && !carried
#endif
		:: lateClaim[0] || lateClaim[1] || lateClaim[2] || lateRelease[0] || lateRelease[1] || lateRelease[2]
		:: else ->
			if
			:: kinds[oldest] == Claim -> expired[claims[oldest]] = true
			:: else
			fi;
			kinds[oldest] = Absent; claims[oldest] = 0; origins[oldest] = 0;
			oldest++
		fi;
		i = 0; carried = false; holder = 0 }
	od
}

init {
	atomic {
		run Claimant(0); run Claimant(1); run Claimant(2);
		run Writer(); run Writer()
	}
}
