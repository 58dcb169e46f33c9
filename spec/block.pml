/*
 * Kept context: publish, read and free of one object in a store, with a slot that
 * is used again, a writer that dies, a reader that is slow, a store that restarts
 * blank, and a freeing that does not wait for ever.
 *
 * An object is two halves. Readers know it by a hint, which may be old.
 *
 * Property: a reader that uses what it read holds both halves of the object that
 * its hint named, written whole, under the weight version that it asked for.
 *
 * MUTANT 1: the hint is published before the seal.
 * MUTANT 2: a read names no generation.
 * MUTANT 3: a read names no incarnation.
 * MUTANT 4: nothing is checked after the last byte.
 * MUTANT 5: a half-written object can be sealed.
 * MUTANT 6: the weight version is no part of the key.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define FREE 0
#define WRITING 1
#define SEALED 2

byte phase = FREE;
byte generation;
byte incarnation = 1;
byte half[2];          /* the value that each half holds; 0 is garbage */
byte key;              /* what the writer says it holds: its weight version */
bool restarted;

bool hinted;
byte hintgeneration, hintincarnation, hintkey;
byte truth;            /* the value that the hinted object was written with */

/* Each write has a value of its own: 1 and 2. Version 1 writes 1, version 2 writes 2. */
proctype writer(byte value) {
	byte g, inc;
	atomic {
		(phase == FREE);
		phase = WRITING; generation++; g = generation; inc = incarnation; key = value;
		half[0] = 0; half[1] = 0
	};
	if
	:: MUTANT == 1 ->
		atomic { hinted = true; hintgeneration = g; hintincarnation = inc; hintkey = value; truth = value }
	:: else
	fi;
	atomic {
		if
		:: phase == WRITING && generation == g && incarnation == inc -> half[0] = value
		:: else -> goto gone
		fi
	};
	if
	:: goto dead            /* the writer dies half way */
	:: skip
	fi;
	if
	:: MUTANT == 5          /* forgets the second half */
	:: atomic {
		if
		:: phase == WRITING && generation == g && incarnation == inc -> half[1] = value
		:: else -> goto gone
		fi
	   }
	fi;
	atomic {
		if
		:: phase == WRITING && generation == g && incarnation == inc && (MUTANT == 5 || half[1] == value) -> phase = SEALED
		:: else -> goto gone
		fi
	};
	/* Only now is it told, and the telling may be late. */
	atomic { hinted = true; hintgeneration = g; hintincarnation = inc; hintkey = value; truth = value };
gone:	skip;
dead:	skip
}

/* Freeing gives up on readers whose lease has ended. */
proctype freer() {
	atomic { (phase == SEALED || phase == WRITING); phase = FREE; half[0] = 0; half[1] = 0 }
}

/* A restart loses everything, and generations begin again. */
proctype restarter() {
	atomic {
		(!restarted);
		restarted = true;
		phase = FREE; incarnation++; generation = 0; half[0] = 0; half[1] = 0
	}
}

inline named(ok) {
	ok = phase == SEALED || MUTANT == 1;
	if
	:: MUTANT != 2 && generation != g -> ok = false
	:: else
	fi;
	if
	:: MUTANT != 3 && incarnation != inc -> ok = false
	:: else
	fi
}

proctype reader(byte want) {
	byte g, inc, expect, a, b;
	bool ok;
	atomic {
		(hinted && (MUTANT == 6 || hintkey == want));
		g = hintgeneration; inc = hintincarnation; expect = truth
	};
	atomic { named(ok); if :: !ok -> goto refused :: else fi; a = half[0] };
	b = half[1];            /* the second half comes later, as things then stand */
	if
	:: MUTANT == 4
	:: else -> atomic { named(ok); if :: !ok -> goto refused :: else fi }
	fi;
	assert(a == expect && b == expect && expect == want);
refused: skip                 /* recompute: no error */
}

init {
	atomic {
		run writer(1); run writer(2);
		run freer(); run freer(); run restarter();
		run reader(1); run reader(2)
	}
}
