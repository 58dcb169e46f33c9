/*
 * The control log: terms, votes, commit by a majority, a lost disk, and the
 * replacement of the replica that lost it.
 *
 * Nodes are incarnations of data folders. Nodes 0, 1 and 2 found the group; node 3
 * is the folder that takes the place of node 2's. A message exchange is one atomic
 * step, but an acknowledgement of node 2 may wait in `pending` while anything else
 * happens, also while node 2 loses its disk.
 *
 * Property: an entry that was committed is in the log of every later leader, and a
 * term has at most one leader.
 *
 * With RECONFIG the disk is lost and replaced, over two terms and three entries;
 * without it a replica restarts with its disk, over four terms and one entry, which
 * is enough for each mutant and small enough to be searched whole.
 *
 * MUTANT 1: a lost disk comes back under its old incarnation.
 * MUTANT 2: a vote is not durable.
 * MUTANT 3: entries of earlier terms commit by counting copies.
 * MUTANT 4: one configuration change replaces two voters.
 * MUTANT 5: a second change begins before the first is committed.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#ifndef RECONFIG
#define RECONFIG 0
#endif

#if RECONFIG
#define N 4
#define TERMS 2
#define LENGTH 3
#else
#define N 3
#define TERMS 4
#define LENGTH 1
#endif

#define VALUE 0
#define ADD 1     /* voters 0 1 2 3 */
#define REMOVE 2  /* voters 0 1 3 */

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define bit(i) (1 << (i))
#define at(i, k) ((i) * LENGTH + (k))
#define pair(i, j) ((i) * N + (j))
#define entry(t, kind) ((t) * 4 + (kind))
#define termof(e) ((e) / 4)
#define kindof(e) ((e) % 4)
#define count(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define majority(m, v) (2 * count((m) & (v)) > count(v))

byte term[N];
byte vote[N];
byte role[N];
byte votes[N];
byte length[N];
byte log[N * LENGTH];
byte voters[N];        /* the configuration in force at a node */
byte configat[N];      /* the length of the log up to its entry */
byte match[N * N];
byte pending[N];       /* node 2's acknowledgement to each leader */
byte commit[N];
bool alive[N];
bool lost;
bool restarted;

/* What the outside has seen. */
byte committed[LENGTH];
byte committedin[LENGTH]; /* the term in which it was committed */
byte committedlen;
byte leaderof[TERMS + 1];

byte i, j, k, m;

inline findconfig(n) {
	voters[n] = 7;
	configat[n] = 0;
	k = 0;
	do
	:: k < length[n] ->
		if
		:: kindof(log[at(n, k)]) == ADD -> voters[n] = 15; configat[n] = k + 1
		:: kindof(log[at(n, k)]) == REMOVE -> voters[n] = 11; configat[n] = k + 1
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline lastterm(n, out) {
	if
	:: length[n] == 0 -> out = 0
	:: else -> out = termof(log[at(n, length[n] - 1)])
	fi
}

/* What only a leader knows is forgotten with the office. */
inline retire(n) {
	k = 0;
	do
	:: k < N -> match[pair(n, k)] = 0; k++
	:: else -> break
	od;
	k = 0;
	role[n] = FOLLOWER; votes[n] = 0; commit[n] = 0; pending[n] = 0
}

inline follow(n, t) {
	if
	:: term[n] < t -> term[n] = t; vote[n] = 0; retire(n)
	:: else
	fi
}

inline pick(n) {
	if
	:: n = 0
	:: n = 1
	:: n = 2
#if RECONFIG
	:: n = 3
#endif
	fi
}

inline copylog(from, to) {
	k = 0;
	do
	:: k < LENGTH ->
		if
		:: k < length[from] -> log[at(to, k)] = log[at(from, k)]
		:: else -> log[at(to, k)] = 0
		fi;
		k++
	:: else -> break
	od;
	length[to] = length[from];
	k = 0;
	findconfig(to)
}

inline appendentry(n, kind) {
	log[at(n, length[n])] = entry(term[n], kind);
	length[n] = length[n] + 1;
	match[pair(n, n)] = length[n];
	findconfig(n)
}

inline lead(n) {
	assert(leaderof[term[n]] == 0 || leaderof[term[n]] == n + 1);
	leaderof[term[n]] = n + 1;
	k = 0;
	do
	:: k < committedlen ->
		/* A late winner of an earlier term knows nothing of it, and commits nothing. */
		assert(committedin[k] > term[n] || (k < length[n] && log[at(n, k)] == committed[k]));
		k++
	:: else -> break
	od;
	k = 0;
	do
	:: k < N -> match[pair(n, k)] = 0; k++
	:: else -> break
	od;
	k = 0;
	role[n] = LEADER;
	votes[n] = 0;
	commit[n] = 0;
	match[pair(n, n)] = length[n]
}

/* held(n, c): who holds the first c entries, as far as leader n knows. */
inline holders(n, c, out) {
	out = 0;
	k = 0;
	do
	:: k < N ->
		if
		:: match[pair(n, k)] >= c -> out = out | bit(k)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline notecommit(n, c) {
	commit[n] = c;
	k = 0;
	do
	:: k < c ->
		if
		:: k < committedlen -> assert(committed[k] == log[at(n, k)])
		:: else -> committed[k] = log[at(n, k)]; committedin[k] = term[n]; committedlen = k + 1
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

active proctype steps() {
	atomic {
		alive[0] = true; alive[1] = true; alive[2] = true;
		voters[0] = 7; voters[1] = 7; voters[2] = 7
	};
	do
	:: atomic { /* an election begins */
		pick(i);
		(alive[i] && role[i] != LEADER && term[i] < TERMS && (voters[i] & bit(i)));
#if RECONFIG
		/* Nodes 0 and 1 are alike until one of them has led: let it be node 0. */
		(i != 1 || term[i] > 0);
#endif
		term[i] = term[i] + 1; vote[i] = i + 1; role[i] = CANDIDATE; votes[i] = bit(i);
		i = 0
	}
	:: atomic { /* a vote is asked for, and its answer may be lost */
		pick(i); pick(j);
		(i != j && alive[i] && alive[j] && role[i] == CANDIDATE && term[j] <= term[i] && !(votes[i] & bit(j)));
		follow(j, term[i]);
		lastterm(i, k); lastterm(j, m);
		if
		:: (vote[j] == 0 || vote[j] == i + 1) && role[j] == FOLLOWER &&
		   (k > m || (k == m && length[i] >= length[j])) ->
			vote[j] = i + 1;
			if
			:: votes[i] = votes[i] | bit(j)
			:: skip
			fi
		:: else
		fi;
		i = 0; j = 0; k = 0; m = 0
	}
	:: atomic { /* an election is won */
		pick(i);
		(alive[i] && role[i] == CANDIDATE && majority(votes[i], voters[i]));
		lead(i);
		i = 0
	}
	:: atomic { /* a command is proposed */
		pick(i);
		(alive[i] && role[i] == LEADER && length[i] < LENGTH);
#if RECONFIG
		/* One command a term: a second one behaves as the first. */
		(length[i] == 0 || termof(log[at(i, length[i] - 1)]) != term[i]);
#endif
		appendentry(i, VALUE);
		i = 0
	}
#if RECONFIG
	:: atomic { /* the new folder becomes a voter; it has caught up as a learner */
		pick(i);
		(alive[i] && alive[3] && role[i] == LEADER && length[i] < LENGTH && voters[i] == 7 && i != 3);
		(MUTANT == 5 || (commit[i] >= 1 && termof(log[at(i, commit[i] - 1)]) == term[i]));
		appendentry(i, ADD);
		i = 0
	}
	:: atomic { /* the old folder is removed */
		pick(i);
		(alive[i] && role[i] == LEADER && length[i] < LENGTH);
		(voters[i] == 15 || (MUTANT == 4 && voters[i] == 7 && alive[3]));
		(MUTANT == 5 || MUTANT == 4 || (commit[i] >= configat[i] && termof(log[at(i, commit[i] - 1)]) == term[i]));
		appendentry(i, REMOVE);
		i = 0
	}
#endif
	:: atomic { /* the log is sent; the acknowledgement is on its way */
		pick(i); pick(j);
		(i != j && alive[i] && alive[j] && role[i] == LEADER && term[j] <= term[i] && length[i] > 0);
		follow(j, term[i]);
		role[j] = FOLLOWER; votes[j] = 0;
		copylog(i, j);
		if
		:: j == 2 -> pending[i] = length[i]
		:: j != 2 -> match[pair(i, j)] = length[i]
		fi;
		i = 0; j = 0
	}
	:: atomic { /* an acknowledgement arrives, perhaps late */
		pick(i);
		(role[i] == LEADER && alive[i] && pending[i] > match[pair(i, 2)]);
		match[pair(i, 2)] = pending[i];
		i = 0
	}
	:: atomic { /* the leader commits what a majority holds */
		pick(i);
		(alive[i] && role[i] == LEADER && commit[i] < length[i]);
		j = commit[i] + 1;
		if
		:: j < length[i] -> j++
		:: skip
		fi;
		holders(i, j, m);
		(majority(m, voters[i]) && (MUTANT == 3 || termof(log[at(i, j - 1)]) == term[i]));
		notecommit(i, j);
		i = 0; j = 0; m = 0
	}
	:: atomic { /* a leader learns of a higher term */
		pick(i); pick(j);
		(alive[i] && alive[j] && role[i] != FOLLOWER && term[j] > term[i]);
		follow(i, term[j]);
		i = 0; j = 0
	}
#if !RECONFIG
	:: atomic { /* a replica restarts with its disk */
		pick(i);
		(alive[i] && !restarted);
		restarted = true;
		retire(i);
		if
		:: MUTANT == 2 -> vote[i] = 0
		:: else
		fi;
		i = 0
	}
#else
	:: atomic { /* node 2 loses its disk */
		(!lost && alive[2]);
		lost = true;
		retire(2);
		if
		:: MUTANT == 1 ->
			term[2] = 0; vote[2] = 0; length[2] = 0;
			log[at(2, 0)] = 0; log[at(2, 1)] = 0; log[at(2, 2)] = 0;
			voters[2] = 7; configat[2] = 0
		:: else ->
			alive[3] = true;
			/* The old folder may be lost, or only replaced and still running. */
			if
			:: alive[2] = false
			:: skip
			fi
		fi
	}
#endif
	od
}
