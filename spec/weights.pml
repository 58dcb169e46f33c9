/*
 * Old weights: one version of a model is named; the engine is brought to it at some time or
 * never, and may fall back once. An entry sends requests, which wait at the engine before they
 * begin. The entry, or everything, is killed and starts again; the entry is cut off from the
 * control log for a while. What the entry believes of the engine may be old.
 *
 * Time is counted in ticks. Whatever takes less than the entry's margin happens before the next
 * tick: that a naming is heard, that a request is taken back, that a mark is committed.
 *
 * Property: once requests have been allowed on the old version for BOUND ticks without a
 * disruption, none begins on it again; but who is cut off may go on, and has BOUND ticks once
 * more after it.
 *
 * MUTANT 1: the entry sends to old weights whenever it likes.
 * MUTANT 2: a send does not name the version that the engine is believed to have.
 * MUTANT 3: what waits at the engine is not taken back.
 * MUTANT 4: an entry that starts counts from when it heard of the version.
 * MUTANT 5: it is not committed that the time is over.
 * MUTANT 6: who was cut off counts from then on as if it still were.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define LAST 9
#define BOUND 3
#define OWN 2           /* the entry's bound, less its margin */

byte t;
byte version = 1;       /* what the engine has */
bool fell;

bool named, due;        /* what the control log holds */
byte heardAt;           /* when control took the naming, in its present life */

bool cut, healed;
byte healedAt;

bool knows, knowsDue;   /* what the entry holds, and since when */
byte knownAt;
bool lost;
byte lostAt;
byte believed = 1;

bool queued, wasOld;    /* the request at the engine; wasOld: believed to have old weights */
byte asked;             /* the version that it names, or 0 */

byte since;             /* for the property: when the present stretch began */
bool over;

byte from;

inline decide(tooOld) {
	if
	:: MUTANT == 1 || cut || (MUTANT == 6 && lost) -> tooOld = false
	:: else ->
		if
		:: knowsDue -> tooOld = (!lost || t >= lostAt + OWN)
		:: !knowsDue && knows ->
			from = knownAt;
			if :: lost && lostAt > from -> from = lostAt :: else fi;
			tooOld = (t >= from + OWN)
		:: else -> tooOld = false
		fi
	fi;
	from = 0
}

inline hear() {
	if
	:: named && !knows -> knows = true; knownAt = (MUTANT == 4 -> t : heardAt)
	:: else
	fi;
	knowsDue = due
}

proctype entry() {
	bool tooOld;
	do
	:: atomic { !queued ->
		decide(tooOld);
		if
		:: believed == 1 && tooOld
		:: else ->
			queued = true;
			wasOld = (believed == 1);
			asked = (believed == 2 && MUTANT != 2 -> 2 : 0)
		fi;
		tooOld = false }
	:: atomic { believed != version -> believed = version }
	od
}

proctype engine() {
	do
	:: atomic { queued ->
		if
		:: asked != 0 && asked != version      /* refused */
		:: else ->
			assert(!(version == 1 && over && !cut && !(healed && t < healedAt + BOUND)))
		fi;
		queued = false; wasOld = false; asked = 0 }
	:: atomic { named && version == 1 -> version = 2; queued = false; wasOld = false; asked = 0 }
	:: atomic { version == 2 && !fell -> fell = true; version = 1; queued = false; wasOld = false; asked = 0 }
	od
}

proctype clock() {
	bool tooOld;
	do
	:: atomic { t < LAST ->
		t++;
		if
		:: !cut -> hear()
		:: else
		fi;
		decide(tooOld);
		if
		:: queued && wasOld && tooOld && MUTANT != 3 -> queued = false; wasOld = false; asked = 0
		:: else
		fi;
		tooOld = false;
		if
		:: named && !cut && t >= heardAt + BOUND && MUTANT != 5 -> due = true
		:: else
		fi;
		if
		:: named && !cut && t >= since + BOUND -> over = true
		:: else
		fi }
	od
}

proctype operator() {
	atomic { named = true; heardAt = t; since = t; if :: !cut -> hear() :: else fi }
}

proctype trouble() {
	byte n;
	do
	:: atomic { n < 2 && !cut ->            /* the entry is killed */
		n++; queued = false; wasOld = false; asked = 0;
		knows = false; lost = false; knownAt = 0; hear() }
	:: atomic { n < 2 && !cut && named ->   /* everything is killed */
		n++; queued = false; wasOld = false; asked = 0;
		heardAt = t; since = t;
		knows = false; lost = false; knownAt = 0; hear() }
	:: atomic { n < 2 && !cut && !healed -> n++; cut = true }
	:: atomic { cut ->
		cut = false; healed = true; healedAt = t; since = t;
		lost = true; lostAt = t; hear() }
	od
}

init {
	atomic { run entry(); run engine(); run clock(); run operator(); run trouble() }
}
