/*
 * The configuration fold, which is the state that a router computes by applying
 * the records of the log in their order: operators publish concurrently, and
 * routers read one log at different speeds and adopt configurations from each
 * other.
 *
 * A publish (a record with a new text) contains the revision that it is based on, and is accepted if that
 * revision is in force at the publish's offset. A snapshot contains a revision
 * and the offset up to which its author had applied the log. A reader whose next
 * record has been discarded is incomplete (the variable blind): it evaluates no
 * publish until a snapshot or a peer shows which revision was in force at the
 * end of the gap in the log or later. A peer's revision is known to have
 * been in force at the offset after the record with its text.
 *
 * Texts have two formats with different rules: only format 2 rejects a flawed
 * text. A program that knows only format 1 is incomplete after a publish of
 * format 2, and skips a snapshot of format 2.
 *
 * Safety, for every router at every step: the revision never falls between two
 * restarts; the text of a revision is the same on every router, and the same as
 * applying the whole history gives, so no update is lost. Liveness (weak
 * fairness; the log discards only records that a snapshot covers): the last
 * accepted text comes into force on every router.
 *
 * Broken variants (described in properties.txt): FOLD_WITHOUT_BASE, FOLD_OVER_HOLE,
 * LOWER_PEER_ACCEPTED, SNAPSHOT_AS_OF_NOW, NEWER_FORMAT_GUESSED, NO_PEERS with
 * NO_SNAPSHOTS.
 */
#ifdef LIVENESS
#define ROUTERS 2
#else
#define ROUTERS 3
#endif
#define PUBLISHES 3
#define CAPACITY 4

mtype { Absent, Publish, Snapshot };

/* The log. */
mtype kinds[CAPACITY] = Absent;
byte texts[CAPACITY];       /* a publish's number, or the text of a snapshot */
byte revisions[CAPACITY];   /* a publish's base, or the snapshot's revision */
byte proofs[CAPACITY];      /* the offset up to which a snapshot's author had read */
byte places[CAPACITY];      /* the offset of the publish that contained a snapshot's text */
bool newFormat[CAPACITY], flawed[CAPACITY];
byte oldest, next;

/* The fold of the whole history, for the operators, KNOWS, the assertions and the
   formula. */
byte inForce;
byte history[PUBLISHES + 1];
bool historyNew[PUBLISHES + 1];

/* The configuration in force on each router, read by peers: its revision, its
   text, and the offset of the publish that contained the text. */
byte revision[ROUTERS], text[ROUTERS], place[ROUTERS];

/* The number of publishes so far, and how many snapshots and restarts may still
   occur. */
byte published, spareSnapshots = 1, spareRestarts = 1;

active proctype Operator() {
	byte base, i;
	bool isNew, hasFlaw;
	do
	/* Two operators race if both read before either publishes, so the base may
	   be outdated by one revision. */
	:: atomic { published < PUBLISHES && next < CAPACITY ->
		published++;
		if
		:: base = inForce
		:: inForce > 0 -> base = inForce - 1
		fi;
#ifndef LIVENESS
		if
		:: published == 2 -> isNew = true;
			if
			:: hasFlaw = true
			:: hasFlaw = false
			fi
		:: isNew = false
		fi;
#endif
		kinds[next] = Publish; texts[next] = published; revisions[next] = base;
		newFormat[next] = isNew; flawed[next] = hasFlaw;
		if
		:: base == inForce && !(isNew && hasFlaw) ->
			inForce++; history[inForce] = published; historyNew[inForce] = isNew
		:: else
		fi;
		next++;
		base = 0; isNew = false; hasFlaw = false }
	od
}

/* Whether the router's program knows the format: format 2 if isNew is set. */
#define KNOWS(isNew) (!old || !(isNew))

inline become(r, t, p) {
	assert(r >= revision[me]);           /* a revision never falls */
	revision[me] = r; text[me] = t; place[me] = p;
	assert(revision[me] <= inForce && text[me] == history[revision[me]])  /* one text per revision */
}

/* Adopts revision r with text t at offset p, which was in force at proof. */
inline adopt(r, t, p, proof) {
	if
	:: blind && proof < begin ->
		if
		:: r > revision[me] -> become(r, t, p)
		:: else
		fi
	:: blind && proof >= begin ->
		become(r, t, p); position = proof; blind = false
	:: !blind && proof > position ->
		become(r, t, p); position = proof
	:: !blind && proof <= position ->
		assert(r <= revision[me])
	fi
}

/* Makes the reader incomplete: it can't apply the records below offset. begin is
   then the end of the gap. */
inline lose(offset) {
	blind = true; begin = offset; position = offset
}

inline fold() {
	at = position;
	position++;
	if
	:: kinds[at] == Snapshot && KNOWS(historyNew[revisions[at]]) ->
#ifdef SNAPSHOT_AS_OF_NOW
		adopt(revisions[at], texts[at], places[at], position)
#else
		adopt(revisions[at], texts[at], places[at], proofs[at])
#endif
	:: kinds[at] == Publish && !blind ->
		if
#ifndef NEWER_FORMAT_GUESSED
		:: !KNOWS(newFormat[at]) -> lose(position)
		:: KNOWS(newFormat[at]) && newFormat[at] && flawed[at]
		:: KNOWS(newFormat[at]) && !(newFormat[at] && flawed[at]) ->
#else
		:: !old && newFormat[at] && flawed[at]
		:: old || !(newFormat[at] && flawed[at]) ->
#endif
			if
#ifdef FOLD_WITHOUT_BASE
			:: true ->
#else
			:: revisions[at] == revision[me] ->
#endif
				become(revision[me] + 1, texts[at], at)
			:: else
			fi
		fi
	:: else
	fi;
	at = 0
}

#ifdef LOWER_PEER_ACCEPTED
#define HIGHER(peer) (revision[peer] > 0 && revision[peer] != revision[me])
#else
#define HIGHER(peer) (revision[peer] > revision[me] && KNOWS(historyNew[revision[peer]]))
#endif

/* Adopts a peer's revision. It was in force at the offset after the record
   with its text. */
inline learn(peer) {
#ifdef LOWER_PEER_ACCEPTED
	become(revision[peer], text[peer], place[peer])
#else
	adopt(revision[peer], text[peer], place[peer], place[peer] + 1)
#endif
}

proctype Router(byte me; bool old) {
	byte position, begin, at;
	bool blind;
	do
	:: d_step { position < next ->
		if
		:: position < oldest ->
#ifdef FOLD_OVER_HOLE
			position = oldest
#else
			lose(oldest)
#endif
		:: else -> fold()
		fi }
#ifndef NO_PEERS
	:: d_step { HIGHER(0) -> learn(0) }
	:: d_step { HIGHER(1) -> learn(1) }
	:: d_step { HIGHER(ROUTERS - 1) -> learn(ROUTERS - 1) }
#endif
#ifndef NO_SNAPSHOTS
	:: d_step { !blind && revision[me] > 0 && spareSnapshots > 0 && next < CAPACITY ->
		spareSnapshots--;
		kinds[next] = Snapshot; texts[next] = text[me]; revisions[next] = revision[me];
		proofs[next] = position; places[next] = place[me];
		next++ }
#endif
	:: d_step { spareRestarts > 0 && me == 0 -> spareRestarts--;
		revision[me] = 0; text[me] = 0; place[me] = 0;
		position = 0; begin = 0; blind = false }
	od
}

active proctype Retention() {
	byte i;
	bool covered;
	do
	:: d_step { oldest < next ->
		covered = false;
		for (i : 0 .. CAPACITY - 1) {
			if
			:: i > oldest && i < next && kinds[i] == Snapshot && proofs[i] > oldest -> covered = true
			:: else
			fi
		}
		if
#if defined(LIVENESS) && !defined(NO_SNAPSHOTS)
		:: !covered
#endif
		:: else ->
			kinds[oldest] = Absent; texts[oldest] = 0; revisions[oldest] = 0; proofs[oldest] = 0;
			places[oldest] = 0; newFormat[oldest] = false; flawed[oldest] = false;
			oldest++
		fi;
		i = 0; covered = false }
	od
}

init {
	atomic {
		run Router(0, false);
		run Router(1, false);
#ifndef LIVENESS
		run Router(2, true)
#endif
	}
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

ltl everywhere { <> [] (inForce > 0 && revision[0] == inForce && revision[1] == inForce) }
#endif
