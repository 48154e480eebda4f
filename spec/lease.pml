/*
 * A lease: its holder, an observer that revokes it, and its object in the store.
 *
 * Time is in ticks and all clocks run at the same rate. The margin that the code
 * subtracts from the term covers the difference between clocks, so here the
 * holder's term is the observer's less MARGIN. Every process may pause between
 * any two steps for any number of ticks. A write may be delayed, and its answer
 * may be delayed or lost; the holder reads the object back when it doesn't know
 * the outcome of a write.
 *
 * Property: once an observer has revoked the lease, the holder never again
 * regards that generation as valid. (So the actions of the next owner can't
 * overlap with those of the former owner under the lease.)
 *
 * In the model, the read that shows the version unchanged may have been sent
 * before the wait was over. The delete that follows is conditional, so the result
 * is the same. The code waits for a read that was sent after the wait.
 *
 * Variants that must fail:
 *   FROMANSWER      the holder counts the term from the answer
 *   SHORTWAIT       the observer waits for less than the term
 *   NODELETE        the observer takes over without deleting the object
 *   SAMEGENERATION  a holder whose object was deleted writes it again in the same
 *                   generation
 */

#define TERM 3
#define MARGIN 0
#ifdef SHORTWAIT
#define WAIT 1
#else
#define WAIT TERM
#endif
#define MAXWRITES 4
#define MAXREADS 3

/* The object. Version 0 means that it does not exist. */
byte version = 1;
byte sequence = 0;  /* sequence number of the write that made the version */

/* The holder. It starts with a valid lease that it has just written. */
byte knownVersion = 1;         /* version on which its next write is conditional */
byte validTicks = TERM;        /* ticks for which the holder regards the lease as valid */
byte newestSequence = 0;       /* sequence number of its newest write */
byte termTicks = TERM;         /* ticks left of the term since the newest write was sent */
bool awaitingAnswer = false;   /* a write is unanswered */
bool mustReadBack = false;     /* the outcome of the newest write is unknown */
bool generationEnded = false;  /* the object was deleted, so the generation is over */

/* The holder's write in flight, and its answer. */
mtype = { idle, inFlight, succeeded, conflict };
mtype writeState = idle;
byte baseVersion = 0;    /* version on which the write is conditional */
byte writeSequence = 0;  /* sequence number of the write */

/* A write still in flight after the holder stopped waiting for its answer. */
bool delayed = false;
byte delayedBase = 0;
byte delayedSequence = 0;

/* The observer. */
byte observedVersion = 0;  /* version seen first, 0 for none */
byte waitTicks = 0;        /* ticks left to wait since that version was first seen */
byte readsSent = 0;
mtype readState = idle;    /* the read in flight */
byte readVersion = 0;
bool revoked = false;

#define NEXTVERSION(v) (v + 1)

active proctype Holder() {
	do
	/* Renew the lease. */
	:: atomic {
		!generationEnded && !awaitingAnswer && !mustReadBack && newestSequence < MAXWRITES ->
		newestSequence++;
		termTicks = TERM - MARGIN;
		writeState = inFlight; baseVersion = knownVersion; writeSequence = newestSequence;
		awaitingAnswer = true
	}
	/* The answer arrives. */
	:: atomic {
		awaitingAnswer && writeState == succeeded ->
		awaitingAnswer = false; writeState = idle;
		knownVersion = NEXTVERSION(baseVersion);
#ifdef FROMANSWER
		validTicks = TERM - MARGIN
#else
		validTicks = termTicks
#endif
	}
	:: atomic { awaitingAnswer && writeState == conflict -> awaitingAnswer = false; writeState = idle; mustReadBack = true }
	/* The answer or the write is lost, or the write is delayed. */
	:: atomic {
		awaitingAnswer && writeState != idle && !delayed ->
		awaitingAnswer = false; mustReadBack = true;
		if
		:: writeState == inFlight -> delayed = true; delayedBase = baseVersion; delayedSequence = writeSequence
		:: else
		fi;
		writeState = idle
	}
	/* Read the object back. */
	:: atomic {
		mustReadBack ->
		mustReadBack = false;
		if
		:: version == 0 ->
#ifdef SAMEGENERATION
			knownVersion = 0
#else
			generationEnded = true; validTicks = 0
#endif
		:: version != 0 && sequence == newestSequence -> knownVersion = version; validTicks = termTicks
		:: else -> knownVersion = version
		fi
	}
	:: generationEnded -> break
	od
}

/* The store executes reads and writes. */
active proctype Store() {
	do
	:: atomic {
		writeState == inFlight ->
		if
		:: baseVersion == version -> version = NEXTVERSION(version); sequence = writeSequence; writeState = succeeded
		:: else -> writeState = conflict
		fi
	}
	:: atomic {
		delayed ->
		delayed = false;
		if
		:: delayedBase == version -> version = NEXTVERSION(version); sequence = delayedSequence
		:: else
		fi;
		delayedBase = 0; delayedSequence = 0
	}
	:: atomic { readState == inFlight -> readVersion = version; readState = succeeded }
	od
}

active proctype Observer() {
	do
	:: atomic {
		!revoked && readState == idle && readsSent < MAXREADS ->
		readsSent++;
		readState = inFlight
	}
	:: atomic {
		readState == succeeded ->
		readState = idle;
		if
		:: readVersion != 0 && readVersion != observedVersion -> observedVersion = readVersion; waitTicks = WAIT
		:: readVersion != 0 && readVersion == observedVersion && waitTicks == 0 ->
#ifdef NODELETE
			revoked = true
#else
			/* The delete is conditional on the version that the observer judged expired. */
			if
			:: version == observedVersion -> version = 0; sequence = 0; revoked = true
			:: else
			fi
#endif
		:: else
		fi;
		readVersion = 0
	}
	:: revoked -> break
	od
}

#define DECREMENT(t) if :: t > 0 -> t-- :: else fi

active proctype Clock() {
	do
	:: d_step { validTicks > 0 || waitTicks > 0 || termTicks > 0 -> DECREMENT(validTicks); DECREMENT(waitTicks); DECREMENT(termTicks) }
	od
}

active proctype Monitor() {
	do
	:: revoked && validTicks > 0 -> assert(false)
	:: timeout -> break
	od
}
