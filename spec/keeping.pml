/*
 * Kept context in stores that drop nothing by themselves: who names a part, until when it
 * is fetched, and when its room is freed or written anew.
 *
 * Time is the clock of stores and engines. Two leaders of the control log follow each
 * other; the first may go on believing that it leads. A leader reads the store, confirms
 * that it leads, and only then names the part until NAMED after the reading. New weights
 * are named once; a leader that knows it names the part no more, and frees it later.
 *
 * A store that has restarted is written to only once a leader tells that this start is open:
 * when what was named before has ended. A new leader does not know what was named, and waits as
 * well, unless the one before has told that the same start is open.
 *
 * Property: a part is freed or written anew only when no fetch of it can be under way.
 * Not in the model: a save that was under way when the store restarted.
 *
 * MUTANT 1: a part is freed at once.
 * MUTANT 2: a leader does not confirm that it leads after it has read.
 * MUTANT 3: the time until which a part is named counts from the naming, not the reading.
 * MUTANT 4: a new leader does not wait for what the one before has named.
 * MUTANT 5: an engine keeps what arrives after the time.
 * MUTANT 6: a leader that sees a store restart does not let it rest.
 * MUTANT 7: a new leader takes a store as open, though it may have restarted before.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define NAMED 1
#define MARGIN 1
#define LAST 4

#define ABSENT 0
#define WHOLE 1
#define WRITING 2

#define fetched (fetching && (clock <= fetchuntil || MUTANT == 5))

byte clock;
byte store = WHOLE;
byte leading;            /* who leads; it changes once */
bool old;                /* newer weights have been named */
bool named;
byte until;              /* the latest time until which the part was named */
bool fetching;
byte fetchuntil;
bool restarted;
bool open;               /* a leader told that the store is open since its restart */

active proctype environment() {
	do
	:: clock < LAST -> clock++
	:: leading == 0 -> leading = 1
	:: !old -> old = true
	:: atomic { !restarted -> restarted = true; store = ABSENT }
	:: break
	od
}

active proctype entry() {
	do
	:: atomic { !fetching && named && clock <= until -> fetching = true; fetchuntil = until }
	:: fetching -> fetching = false
	:: break
	od
}

active proctype writer() {
	do
	:: atomic {
		open && store == ABSENT ->
		assert(!fetched);
		store = WRITING
	   }
	:: break
	od
}

proctype leader(byte id) {
	byte read, retired, openat;
	bool whole, knows, retires, start;
	/* The first leader has seen the store since before its restart. */
	bool listed = (id == 0);
	leading >= id;
	do
	:: atomic {
		read = clock;
		if
		:: !listed && restarted && !open && MUTANT != 7 -> openat = read + NAMED + MARGIN
		:: listed && start != restarted && MUTANT != 6 -> openat = read + NAMED + MARGIN
		:: else
		fi;
		listed = true;
		start = restarted;
		/* One that was cut off does not hear of new weights. */
		if
		:: old -> knows = true
		:: true
		fi;
		whole = (store == WHOLE && !knows);
		if
		:: knows && !retires -> retires = true; retired = read
		:: else
		fi
	   };
	   /* Anything may happen here: the leader may be frozen. */
	   if
	   :: leading == id || MUTANT == 2
	   :: else -> break
	   fi;
	   atomic {
		if
		:: whole ->
			named = true;
			if
			:: MUTANT == 3 && clock + NAMED > until -> until = clock + NAMED
			:: MUTANT != 3 && read + NAMED > until -> until = read + NAMED
			:: else
			fi
		:: else
		fi;
		if
		:: start && read >= openat -> open = true
		:: else
		fi
	   }
	:: atomic {
		retires && leading == id && store == WHOLE &&
		(clock > retired + NAMED + MARGIN || MUTANT == 1 || (MUTANT == 4 && id == 1)) ->
		assert(!fetched);
		store = ABSENT
	   }
	:: break
	od
}

init { run leader(0); run leader(1) }
