/*
 * Departures: an instance announces to one of three control instances that it leaves. Each control instance publishes what
 * it holds itself, merges what the others publish, and keeps a file. One control instance may be lost at a time, with its disk
 * or without, and comes back with what its file holds; the next one may be lost once it has caught up. All may be killed at
 * the same moment and come back with their files, unless one was lost since the acknowledgement.
 *
 * Property: once a departure was acknowledged, a control instance that is up holds it, unless all are down, and neither
 * a control instance that merged it nor an entry that learned it goes back.
 *
 * MUTANT 1: it is acknowledged before another control instance holds it.
 * MUTANT 2: others merge it, but do not publish it as their own.
 * MUTANT 3: a control instance that comes back without it undoes it at the others.
 * MUTANT 4: it is acknowledged before it is in the own file.
 * MUTANT 5: an entry takes what it was told last.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define N 3
#define NOBODY N
#define ALL (N + 1)

bool up[N];
bool own[N];            /* what it publishes as its own */
bool merged[N];         /* what it has merged from all */
bool file[N];
bool heard[N];          /* the instance has told it, and waits for its answer */

bool acked;
byte lost = NOBODY;     /* the one that is lost or has not caught up, or all */
bool lostOne;           /* one was lost since the acknowledgement */
bool known;             /* what the entry knows */

#define held ((up[0] && own[0]) || (up[1] && own[1]) || (up[2] && own[2]))
#define allUp (up[0] && up[1] && up[2])

inline catchUp(c) {
	if
	:: lost == c && (own[c] || !held) -> lost = NOBODY
	:: lost == ALL && allUp && (!held || own[0] && own[1] && own[2]) -> lost = NOBODY
	:: else
	fi
}

proctype control(byte c) {
	byte d;
	bool before;
	do
	/* The instance tells it. */
	:: atomic { up[c] && !acked && !heard[c] -> heard[c] = true; own[c] = true; merged[c] = true }
	/* It polls another one. */
	:: atomic { up[c] ->
		if
		:: d = 0
		:: d = 1
		:: d = 2
		fi;
		before = merged[c];
		if
		:: d != c && up[d] ->
			if
			:: own[d] ->
				merged[c] = true;
				if
				:: MUTANT != 2 -> own[c] = true
				:: else
				fi
			:: !own[d] && MUTANT == 3 -> merged[c] = false; own[c] = false
			:: else
			fi;
			catchUp(c)
		:: else
		fi;
		/* What it has merged it does not give up while it is up. */
		assert(merged[c] || !before);
		before = false; d = 0 }
	/* It writes its file. */
	:: atomic { up[c] && own[c] -> file[c] = true }
	/* It acknowledges. */
	:: atomic { up[c] && heard[c] && own[c] && (file[c] || MUTANT == 4) ->
		if
		:: MUTANT == 1 -> acked = true
		:: c != 0 && up[0] && merged[0] -> acked = true
		:: c != 1 && up[1] && merged[1] -> acked = true
		:: c != 2 && up[2] && merged[2] -> acked = true
		:: else
		fi }
	/* It is lost, with its disk or without. */
	:: atomic { up[c] && lost == NOBODY ->
		lost = c; lostOne = acked; up[c] = false; own[c] = false; merged[c] = false; heard[c] = false;
		if
		:: file[c] = false
		:: skip
		fi }
	/* It comes back. */
	:: atomic { !up[c] -> up[c] = true; own[c] = file[c]; merged[c] = file[c]; catchUp(c) }
	od
}

/* All are killed at once, once, and come back with their files. */
active proctype power() {
	byte c;
	atomic { lost == NOBODY && allUp && !lostOne ->
		lost = ALL; c = 0;
		do
		:: c < N -> up[c] = false; own[c] = false; merged[c] = false; heard[c] = false; c++
		:: else -> break
		od }
}

active proctype entry() {
	byte d;
	bool before;
	do
	:: atomic {
		if
		:: d = 0
		:: d = 1
		:: d = 2
		fi;
		before = known;
		if
		:: up[d] ->
			if
			:: MUTANT == 5 -> known = merged[d]
			:: merged[d] -> known = true
			:: else
			fi
		:: else
		fi;
		assert(known || !before);
		before = false; d = 0 }
	od
}

/* What was acknowledged is held. While all come back after a loss of power, those that are not up count by their files. */
active proctype judge() {
	do
	:: atomic { acked -> assert(held || (!up[0] && file[0]) || (!up[1] && file[1]) || (!up[2] && file[2])) }
	od
}

init {
	atomic {
		byte c = 0;
		do
		:: c < N -> up[c] = true; run control(c); c++
		:: else -> break
		od }
}
