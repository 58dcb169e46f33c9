/*
 * The at-most-once record: three attempts at one call, at three entries, with freezes
 * anywhere (each step may wait for ever), lost answers, and a release.
 *
 * An attempt commits a record before it dispatches. The first instance of the
 * service may be unreachable, in which case nothing was sent.
 *
 * Property: the call runs at most once, and an attempt that told its caller "not
 * run" never runs afterwards.
 *
 * MUTANT 1: dispatch without a record.
 * MUTANT 2: a connection that broke after sending counts as not sent.
 * MUTANT 3: a reservation that is old is granted to somebody else.
 * MUTANT 4: the transport sends again by itself when a connection breaks.
 * MUTANT 5: a release is not bound to its holder.
 * MUTANT 6: an expired record is forgotten, and its key is granted again.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define ATTEMPTS 3
#define FREE 0
#define RESERVED 1
#define FINISHED 2
#define UNRESOLVED 3
#define EXPIRED 4

byte phase = FREE;
byte holder;
byte runs;
bool toldnotrun[ATTEMPTS];
bool ran[ATTEMPTS];

/* reserve commits or reads the record; granted says whether this attempt holds it. */
inline reserve(self, granted) {
	atomic {
		if
		:: phase == FREE -> phase = RESERVED; holder = self; granted = true
		:: phase == RESERVED && holder == self -> granted = true
		:: phase == RESERVED && holder != self && MUTANT == 3 -> holder = self; granted = true
		:: MUTANT == 6 && phase == EXPIRED -> phase = RESERVED; holder = self; granted = true
		:: else -> granted = false
		fi
	}
}

inline execute(self) {
	atomic {
		runs++;
		ran[self] = true;
		assert(runs <= 1);
		assert(!toldnotrun[self])
	}
}

inline finish(self, how) {
	atomic {
		if
		:: phase == RESERVED && holder == self -> phase = how
		:: else
		fi
	}
}

inline release(self) {
	atomic {
		if
		:: phase == RESERVED && (holder == self || MUTANT == 5) -> phase = FREE
		:: else
		fi
	}
}

inline notrun(self) {
	atomic {
		assert(!ran[self]);
		toldnotrun[self] = true
	}
}

proctype attempt(byte self) {
	bool granted;
	byte tries;
	if
	:: MUTANT == 1 -> granted = true
	:: else ->
		do
		:: reserve(self, granted);
			if
			:: break          /* the answer arrives */
			:: tries < 1 -> tries++   /* the answer is lost: ask again */
			:: tries == 1 ->  /* given up: no majority; take back what may be there */
				granted = false;
				notrun(self);
				release(self);
				goto done
			fi
		od
	fi;
	if
	:: !granted -> goto done /* known: answered from the record, never "not run" */
	:: else
	fi;
	/* Dispatch. */
	if
	:: /* No byte reached the service. */
		notrun(self);
		release(self)
	:: /* The service runs it, and the answer arrives. */
		execute(self);
		finish(self, FINISHED)
	:: /* The connection breaks after sending: it ran, or will run, or did not. */
		if
		:: execute(self)
		:: skip
		fi;
		if
		:: MUTANT == 2 -> release(self)
		:: MUTANT == 4 -> execute(self)
		:: else -> finish(self, UNRESOLVED)
		fi
	:: /* The entry dies after dispatch. */
		execute(self)
	:: /* The entry dies before dispatch. */
		skip
	fi;
done:	skip
}

/* Long after, the record expires; its key stays refused. */
proctype retention() {
	atomic { (phase == FINISHED || phase == UNRESOLVED); phase = EXPIRED }
}

init {
	atomic { run attempt(0); run attempt(1); run attempt(2); run retention() }
}
