/*
 * Kept context in stores that drop nothing by themselves: who names a part, until when it
 * is fetched, when its room is freed, and who may write it.
 *
 * Time is the clock of stores and engines. Two leaders of the control log follow each
 * other; the first may go on believing that it leads. A leader reads the store, confirms
 * that it leads, and only then names the part until NAMED after the reading. New weights
 * are named once; a leader that knows it names the part no more, and frees it later.
 *
 * An engine writes the part by a save that a leader has recorded in the control log. It
 * does so at any time after that, into whichever start of the store it finds, and more than
 * once if it reads its prompt anew. The record ends when the engine can't write any more. While
 * there is one, no second is made, and the part is not named.
 *
 * A store that has restarted is written to by new saves only once what was named before has
 * ended. A new leader does not know what was named, and waits as well, unless the one before
 * has told that the same start is open.
 *
 * Property: a part is freed or written only when no fetch of it can be under way or begin.
 *
 * MUTANT 1: a part is freed at once.
 * MUTANT 2: a leader does not confirm that it leads after it has read.
 * MUTANT 3: the time until which a part is named counts from the naming, not the reading.
 * MUTANT 4: a new leader does not wait for what the one before has named.
 * MUTANT 5: an engine keeps what arrives after the time.
 * MUTANT 6: a leader that sees a store restart does not let it rest.
 * MUTANT 7: a new leader takes a store as open, though it may have restarted before.
 * MUTANT 8: a part is named while an engine may still write it.
 * MUTANT 9: a second save of a part is made beside the first, and the record ends with either.
 * MUTANT 10: the record ends while the engine may still write: it is silent, or some time has passed.
 * MUTANT 11: a new leader does not know the saves that the one before has recorded.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define NAMED 1
#define MARGIN 1
#define LAST 3
#define STARTS 1

#define ABSENT 0
#define WRITING 1
#define WHOLE 2

#define fetched (fetching && (clock <= fetchuntil || MUTANT == 5))
#define fetchable (named && clock <= until)

byte clock;
byte store = WHOLE;
byte leading;            /* who leads; it changes once */
bool old;                /* newer weights have been named */
bool named;
byte until;              /* the latest time until which the part was named */
bool fetching;
byte fetchuntil;
byte starts;             /* how often the store has restarted */
byte open;               /* the newest start that a leader has told to be open */
bool recorded;           /* the control log holds a save of the part */
byte orders;             /* how many engines may still write the part */

active proctype environment() {
	do
	:: clock < LAST -> clock++
	:: leading == 0 -> leading = 1
	:: !old -> old = true
	:: atomic { starts < STARTS -> starts++; store = ABSENT }
	:: break
	od
}

active proctype entry() {
	do
	:: atomic { !fetching && fetchable -> fetching = true; fetchuntil = until }
	:: fetching -> fetching = false
	:: break
	od
}

active proctype engine() {
	do
	:: atomic {
		orders > 0 && store == ABSENT ->
		assert(!fetched && !fetchable);
		store = WRITING
	   }
	:: store == WRITING -> store = WHOLE
	:: orders > 0 -> orders--
	:: break
	od
}

proctype leader(byte id) {
	byte read, retired, openat, start;
	bool has, knows, retires, saves;
	/* The first leader has seen the store since its first start. */
	bool listed = (id == 0);
	leading >= id;
	do
	:: atomic {
		read = clock;
		if
		:: !listed && starts != open && MUTANT != 7 -> openat = read + NAMED + MARGIN
		:: listed && start != starts && MUTANT != 6 -> openat = read + NAMED + MARGIN
		:: else
		fi;
		listed = true;
		start = starts;
		/* One that was cut off does not hear of new weights. */
		if
		:: old -> knows = true
		:: true
		fi;
		has = (store == WHOLE);
		if
		:: knows && !retires -> retires = true; retired = read
		:: else
		fi
	   };
	   /* Anything may happen here: the leader may be frozen. */
	   atomic {
		if
		:: leading == id || MUTANT == 2 -> saves = recorded && !(MUTANT == 11 && id == 1)
		:: else -> break
		fi
	   };
	   atomic {
		if
		:: has && !knows && (!saves || MUTANT == 8) ->
			named = true;
			if
			:: MUTANT == 3 && clock + NAMED > until -> until = clock + NAMED
			:: MUTANT != 3 && read + NAMED > until -> until = read + NAMED
			:: else
			fi
		:: else
		fi;
		if
		:: read >= openat && start > open -> open = start
		:: else
		fi
	   }
	:: atomic {
		leading == id && listed && !has && !knows && read >= openat && orders < 2 &&
		(!recorded || MUTANT == 9 || (MUTANT == 11 && id == 1)) ->
		recorded = true;
		orders++
	   }
	:: atomic {
		leading == id && recorded && (orders == 0 || MUTANT == 10 || (MUTANT == 9 && orders == 1)) ->
		recorded = false
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

init {
	/* The engine that has saved the part may read its prompt anew. */
	if
	:: recorded = true; orders = 1
	:: true
	fi;
	run leader(0);
	run leader(1)
}
