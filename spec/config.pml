/*
 * The numbered configuration.
 *
 * Patch n is the object patch[n], made by conditional create and never changed.
 * Two operators each have one patch; one that is refused tries again at the next
 * number. A create may be late, and its answer may be lost. Two hosts apply the
 * patches in order, read from the object API or handed on by the other host; one
 * of them writes snapshots. A host may restart at any time: it begins at the
 * snapshot, and is ready once it has read that there is no further patch.
 *
 * Properties
 *   - an object patch[n] never changes, so each number has one winner
 *   - who was told "accepted" has its patch in the log, who was told "refused" never
 *   - a host that is ready is never at a version below one it was ready at before,
 *     also across a restart
 *   - a host at version n has applied the patches 1 to n
 *   - at the end both hosts are ready at the last version
 *
 * Variants that must fail:
 *   OVERWRITE   a create is not conditional
 *   NOREADBACK  a lost answer counts as a refusal
 *   GIVEUP      a patch that is not found after a lost answer counts as refused
 *   AHEAD       a host applies a patch that is handed on without those before it
 *   EARLY       a host is ready at the snapshot
 *   PEERSTART   a host is ready at the version that the other host has
 */

#define LAST  3          /* numbers */
#define NONE  0

byte patch[LAST + 2];    /* the operator whose patch has the number */
byte snapshot = 0;
byte losses = 2;
byte restarts = 2;

/* A create that its operator no longer waits for, one for each operator. */
byte late[3];

/* What the operators were told: the number, or refused for good. */
byte told[3];
bool refused[3];

byte version[2];
bool ready[2];
byte reached[2];         /* the highest version at which the host was ready */

inline create(me, n, ok) {
	if
	:: patch[n] == NONE -> patch[n] = me; ok = true
#ifdef OVERWRITE
	:: patch[n] != NONE -> patch[n] = me; ok = true
#else
	:: patch[n] != NONE -> ok = false
#endif
	fi
}

proctype Operator(byte me) {
	byte n;
	bool ok;
	bool tried = false;
	/* The operator patches the version that it sees. */
again:
	atomic {
		n = 1;
		do
		:: n < LAST && patch[n] != NONE -> n++
		:: else -> break
		od
	}
send:
	if
	:: atomic { create(me, n, ok) } 
	:: atomic { losses > 0 -> losses--; create(me, n, ok) }; goto settle
	:: atomic { losses > 0 && late[me] == 0 -> losses--; late[me] = n }; goto settle
	fi;
	if
	:: ok -> goto accepted
	:: !ok ->
		/* A create of its own may have come before: read back. */
		if
		:: patch[n] == me -> goto accepted
		:: else -> goto lost
		fi
	fi;
settle:
#ifdef NOREADBACK
	goto lost;
#else
	if
	:: patch[n] == me -> goto accepted
	:: patch[n] != me && patch[n] != NONE -> goto lost
#ifdef GIVEUP
	:: patch[n] == NONE -> goto lost
#else
	/* The create may still come: only its own number will do. */
	:: patch[n] == NONE -> goto send
#endif
	fi;
#endif
lost:
	if
	:: !tried && n < LAST -> tried = true; goto again
	:: else -> refused[me] = true; goto done
	fi;
accepted:
	told[me] = n;
	assert(patch[n] == me);
done:
	skip
}

/* A create that is late takes effect, or not, without anybody hearing of it. */
active proctype Network() {
	bool ok;
	do
	:: atomic { late[1] != 0 -> create(1, late[1], ok); late[1] = 0 }
	:: atomic { late[2] != 0 -> create(2, late[2], ok); late[2] = 0 }
	od
}

inline up(i) {
	assert(version[i] >= reached[i]);
	ready[i] = true;
	reached[i] = version[i]
}

inline apply(i) {
	version[i]++;
	if
	:: ready[i] -> reached[i] = version[i]
	:: else
	fi
}

proctype Host(byte i) {
	do
	/* Read the next patch, or that there is none. */
	:: atomic { patch[version[i] + 1] != NONE -> apply(i) }
	:: atomic { !ready[i] && patch[version[i] + 1] == NONE -> up(i) }
	/* The other host hands its newest patch on. */
#ifdef AHEAD
	:: atomic { version[1 - i] > version[i] -> version[i]++; assert(version[1 - i] == version[i]) }
#else
	:: atomic { version[1 - i] > version[i] -> apply(i) }
#endif
	:: atomic { i == 0 && version[i] > snapshot -> snapshot = version[i] }
	/* Restart. */
	:: atomic { restarts > 0 -> restarts--; ready[i] = false; version[i] = snapshot }
#ifdef EARLY
	:: atomic { !ready[i] -> up(i) }
#endif
#ifdef PEERSTART
	:: atomic { !ready[i] && version[i] >= version[1 - i] -> up(i) }
#endif
	od
}

/* Each number's winner stays. */
active proctype Log() {
	byte first;
	byte n = 1;
	do
	:: n < LAST -> n++
	:: patch[n] != NONE -> break
	od;
	first = patch[n];
	do
	:: patch[n] != first -> assert(false)
	:: timeout -> break
	od
}

active proctype Watcher() {
	byte n;
	timeout;
	n = 0;
	do
	:: patch[n + 1] != NONE -> n++
	:: else -> break
	od;
	assert(ready[0] && ready[1]);
	assert(version[0] == n && version[1] == n);
	assert(!refused[1] || (patch[1] != 1 && patch[2] != 1 && patch[3] != 1));
	assert(!refused[2] || (patch[1] != 2 && patch[2] != 2 && patch[3] != 2));
	assert(told[1] == 0 || patch[told[1]] == 1);
	assert(told[2] == 0 || patch[told[2]] == 2)
}

init {
	atomic {
		run Operator(1);
		run Operator(2);
		run Host(0);
		run Host(1)
	}
}
