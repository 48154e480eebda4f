/*
 * The numbered configuration.
 *
 * Patch n is the object patch[n], which is made by a conditional create and never
 * changed. Two operators have one patch each; one whose number is taken tries
 * once more, at the next free number. A create may be delayed, and its answer may
 * be lost. Two hosts apply the patches in order, as read from the object API or as
 * relayed by the other host; one of them writes snapshots. A host may restart at
 * any time: it starts from the snapshot, and is ready once it has read that there
 * is no further patch.
 *
 * Properties
 *   - an object patch[n] never changes, so each number has one winner
 *   - the patch of an operator that got "accepted" is in the log, that of one that
 *     got "refused" never is
 *   - a host that is ready is never at a lower version than it was ready at before,
 *     also across a restart
 *   - a host at version n has applied the patches 1 to n
 *   - at the end both hosts are ready at the last version
 *
 * Variants that must fail:
 *   OVERWRITE        a create is not conditional
 *   NOREADBACK       a lost answer counts as a refusal
 *   ASSUMELOST       a patch that is not found after a lost answer counts as refused
 *   SKIPPATCHES      a host applies a relayed patch without the patches before it
 *   READYATSNAPSHOT  a host is ready at the snapshot
 *   READYATPEER      a host is ready at the version of the other host
 */

#define LAST 3  /* patch numbers that operators use */
#define NONE 0

byte patch[LAST + 2];  /* the operator whose patch has the number, or NONE */
byte snapshot = 0;
byte losses = 2;
byte restarts = 2;

/* The number of a create in flight whose operator stopped waiting, by operator. */
byte delayedPatch[3];

/* The result that each operator got: its number, or a final refusal. */
byte acceptedNumber[3];
bool refused[3];

byte version[2];
bool ready[2];
byte highestReady[2];  /* the highest version at which the host was ready */

inline create(operator, n, ok) {
	if
	:: patch[n] == NONE -> patch[n] = operator; ok = true
#ifdef OVERWRITE
	:: patch[n] != NONE -> patch[n] = operator; ok = true
#else
	:: patch[n] != NONE -> ok = false
#endif
	fi
}

proctype Operator(byte operator) {
	byte n;
	bool ok;
	bool retried = false;
	/* The operator uses the number after the latest version that it sees. */
nextNumber:
	atomic {
		n = 1;
		do
		:: n < LAST && patch[n] != NONE -> n++
		:: else -> break
		od
	}
sendCreate:
	if
	:: atomic { create(operator, n, ok) }
	:: atomic { losses > 0 -> losses--; create(operator, n, ok) }; goto readBack
	:: atomic { losses > 0 && delayedPatch[operator] == 0 -> losses--; delayedPatch[operator] = n }; goto readBack
	fi;
	if
	:: ok -> goto accepted
	:: !ok ->
		/* An earlier create of this operator may have taken effect: read back. */
		if
		:: patch[n] == operator -> goto accepted
		:: else -> goto numberTaken
		fi
	fi;
readBack:
#ifdef NOREADBACK
	goto numberTaken;
#else
	if
	:: patch[n] == operator -> goto accepted
	:: patch[n] != operator && patch[n] != NONE -> goto numberTaken
#ifdef ASSUMELOST
	:: patch[n] == NONE -> goto numberTaken
#else
	/* The create may still take effect, so the operator retries the same number only. */
	:: patch[n] == NONE -> goto sendCreate
#endif
	fi;
#endif
numberTaken:
	if
	:: !retried && n < LAST -> retried = true; goto nextNumber
	:: else -> refused[operator] = true; goto done
	fi;
accepted:
	acceptedNumber[operator] = n;
	assert(patch[n] == operator);
done:
	skip
}

/* A delayed create succeeds or fails, and its answer reaches nobody. */
active proctype Network() {
	bool ok;
	do
	:: atomic { delayedPatch[1] != 0 -> create(1, delayedPatch[1], ok); delayedPatch[1] = 0 }
	:: atomic { delayedPatch[2] != 0 -> create(2, delayedPatch[2], ok); delayedPatch[2] = 0 }
	od
}

inline setReady(i) {
	assert(version[i] >= highestReady[i]);
	ready[i] = true;
	highestReady[i] = version[i]
}

inline apply(i) {
	version[i]++;
	if
	:: ready[i] -> highestReady[i] = version[i]
	:: else
	fi
}

proctype Host(byte i) {
	do
	/* Read the next patch, or that there is none. */
	:: atomic { patch[version[i] + 1] != NONE -> apply(i) }
	:: atomic { !ready[i] && patch[version[i] + 1] == NONE -> setReady(i) }
	/* The other host relays a patch. */
#ifdef SKIPPATCHES
	:: atomic { version[1 - i] > version[i] -> version[i]++; assert(version[1 - i] == version[i]) }
#else
	:: atomic { version[1 - i] > version[i] -> apply(i) }
#endif
	:: atomic { i == 0 && version[i] > snapshot -> snapshot = version[i] }
	/* Restart. */
	:: atomic { restarts > 0 -> restarts--; ready[i] = false; version[i] = snapshot }
#ifdef READYATSNAPSHOT
	:: atomic { !ready[i] -> setReady(i) }
#endif
#ifdef READYATPEER
	:: atomic { !ready[i] && version[i] >= version[1 - i] -> setReady(i) }
#endif
	od
}

/* The winner of a number never changes. */
active proctype Winners() {
	byte winner;
	byte n = 1;
	do
	:: n < LAST -> n++
	:: patch[n] != NONE -> break
	od;
	winner = patch[n];
	do
	:: patch[n] != winner -> assert(false)
	:: timeout -> break
	od
}

active proctype Monitor() {
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
	assert(acceptedNumber[1] == 0 || patch[acceptedNumber[1]] == 1);
	assert(acceptedNumber[2] == 0 || patch[acceptedNumber[2]] == 2)
}

init {
	atomic {
		run Operator(1);
		run Operator(2);
		run Host(0);
		run Host(1)
	}
}
