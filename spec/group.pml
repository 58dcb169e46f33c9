/*
 * How the group of the control log is founded from seeds, and healed, with no operator.
 *
 * Instances 0, 1 and 2 are the seeds, 3 is a spare. An instance holds a folder: blank, or
 * with the one group that it belongs to and whether it has the committed entry. At the
 * first start the lowest seed founds a group when it finds all seeds blank, asking one
 * after the other. A folder may be lost at any time, but one at a time: the next one only
 * when the group is whole again. A silent instance is only slow: it still counts.
 *
 * Property: never two groups that can commit; an entry that was committed is known to every
 * majority that can elect; and while at most one folder is lost, a majority lives.
 *
 * MUTANT 1: a blank seed founds again after the first start, from a majority of blanks.
 * MUTANT 2: a blank folder votes in the place of the one that was lost.
 * MUTANT 3: two voters are replaced at once.
 * MUTANT 4: a silent voter is removed before its successor is ready.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define N 4
#define VOTERS 3

byte group[N];          /* 0 is blank */
bool has[N];            /* holds the committed entry */
bool voter[N];          /* this folder votes */
bool dead[N];           /* a lost folder of this instance still counts as a voter */
bool learner[N];
bool silent[N];
bool first = true;      /* the deployment starts for the first time */
byte groups;
bool committed;
byte wipes, quiets;

byte i, n, total, living, holders, lacking;

inline count() {
	total = 0; living = 0; holders = 0; lacking = 0;
	i = 0;
	do
	:: i < N ->
		if
		:: dead[i] -> total++
		:: else
		fi;
		if
		:: voter[i] ->
			total++; living++;
			if
			:: has[i] -> holders++
			:: else -> lacking++
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* What must hold after every step. */
inline check() {
	count();
	assert(groups <= 1);
	assert(groups == 0 || 2 * living > total);
	/* A candidate without the entry is elected only by those who lack it. */
	assert(!committed || 2 * lacking <= total)
}

active proctype founder() {
	byte blanks;
	bool self;
again:
	atomic {
		group[0] == 0 && (first || MUTANT == 1) -> blanks = 1
	};
	atomic {
		if
		:: group[1] == 0 -> blanks++
		:: else
		fi
	};
	atomic {
		if
		:: group[2] == 0 -> blanks++
		:: else
		fi
	};
	if
	:: group[0] == 0 && (blanks == 3 || (MUTANT == 1 && blanks == 2)) ->
		atomic {
			groups++;
			group[0] = groups; voter[0] = true;
			/* The others are voters by the founding configuration, and get it later. */
			voter[1] = true; voter[2] = true;
			first = false;
			check()
		}
	:: else
	fi;
	if
	:: MUTANT == 1 -> goto again
	:: else
	fi
}

active proctype leader() {
	do
	/* A member gets the log, with the entry if there is one. */
	:: atomic {
		groups > 0 ->
		select(n : 0 .. 3);
		if
		:: voter[n] || learner[n] -> group[n] = 1; has[n] = committed || has[n]
		:: else
		fi
	   }
	/* An entry commits once a majority of voters holds it. */
	:: atomic {
		groups > 0 && !committed ->
		count();
		if
		:: 2 * living > total -> 
			committed = true;
			n = 0;
			i = 0;
			do
			:: i < N && 2 * n <= total ->
				if
				:: voter[i] -> group[i] = 1; has[i] = true; n++
				:: else
				fi;
				i++
			:: else -> break
			od;
			i = 0;
			check()
		:: else
		fi
	   }
	/* Whoever is no member asks to join. */
	:: atomic {
		groups > 0 ->
		select(n : 0 .. 3);
		if
		:: !voter[n] && !learner[n] -> learner[n] = true
		:: else
		fi
	   }
	/* A learner that has caught up takes the place of a voter that is lost or silent. */
	:: atomic {
		groups > 0 ->
		count();
		select(n : 0 .. 3);
		if
		:: learner[n] && group[n] > 0 && (has[n] || !committed) && !silent[n] && total <= VOTERS &&
		   (dead[0] || dead[1] || dead[2] || dead[3] || silent[0] || silent[1] || silent[2] || silent[3]) ->
			learner[n] = false; voter[n] = true; check()
		:: else
		fi
	   }
	/* A voter that is lost or silent goes, once there is one too many. */
	:: atomic {
		groups > 0 ->
		count();
		select(n : 0 .. 3);
		if
		:: total > VOTERS && dead[n] -> dead[n] = false; check()
		:: total > VOTERS && voter[n] && silent[n] && !(dead[0] || dead[1] || dead[2] || dead[3]) ->
			voter[n] = false; learner[n] = true; check()
		:: MUTANT == 4 && total == VOTERS && voter[n] && silent[n] -> voter[n] = false; learner[n] = true; check()
		:: MUTANT == 3 && dead[n] && silent[(n + 1) % 3] && voter[(n + 1) % 3] ->
			/* Two at once: the lost one goes and a silent one with it. */
			dead[n] = false; voter[(n + 1) % 3] = false; learner[(n + 1) % 3] = true; check()
		:: else
		fi
	   }
	:: break
	od
}

active proctype environment() {
	do
	/* A folder is lost, while the group is whole. */
	:: atomic {
		wipes < 2 ->
		count();
		select(n : 0 .. 3);
		if
		:: (groups == 0 || (total == VOTERS && living == VOTERS && lacking <= 1)) && group[n] > 0 ->
			if
			:: voter[n] && (MUTANT != 2) -> voter[n] = false; dead[n] = true
			:: else
			fi;
			learner[n] = false; group[n] = 0; has[n] = false; wipes++;
			check()
		:: else
		fi
	   }
	:: atomic { quiets < 2 -> select(n : 0 .. 3); silent[n] = true; quiets++ }
	:: atomic { select(n : 0 .. 3); silent[n] = false }
	:: break
	od
}
