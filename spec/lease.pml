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
 * With -DRESTORE the store may also lose acknowledged writes once: it comes back
 * from an older copy, in a new era, and gives its versions out again. Answers name
 * the era. What a holder learns from the first answer of a new era, it does not
 * count for a lease of before: its generation has ended. An observer begins its wait
 * anew, since the holder may have renewed its lease in what is lost, and counts a
 * delete only in the era in which it has waited. The property is the same.
 *
 * Variants that must fail:
 *   FROMANSWER      the holder counts the term from the answer
 *   SHORTWAIT       the observer waits for less than the term
 *   NODELETE        the observer takes over without deleting the object
 *   SAMEGENERATION  a holder whose object was deleted writes it again in the same
 *                   generation
 *   IGNOREERA       with -DRESTORE: the holder takes answers of a new era as before
 *   KEEPWAIT        with -DRESTORE: the observer's wait goes on in a new era
 *   DELETEANYERA    with -DRESTORE: the observer counts a delete of any era
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

#ifdef RESTORE
byte copyVersion = 1;   /* the copy from which the store may come back */
byte copySequence = 0;
byte era = 0;
byte knownEra = 0;      /* era that the holder has heard of */
byte answerEra = 0;     /* era in the answer to the holder's write */
byte readEra = 0;       /* era in the answer to the observer's read */
byte observedEra = 0;   /* era that the observer has heard of */
#endif

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

#if defined(RESTORE) && !defined(IGNOREERA)
#define ISNEWERA(e) ((e) > knownEra)
#else
#define ISNEWERA(e) false
#endif
#ifdef RESTORE
#define ERAOFANSWER answerEra
#define ERAOFREAD era
#define SETANSWERERA answerEra = era
#define SETREADERA readEra = era
#else
#define ERAOFANSWER 0
#define ERAOFREAD 0
#define SETANSWERERA skip
#define SETREADERA skip
#endif
#if defined(RESTORE) && !defined(KEEPWAIT)
#define RESTARTSWAIT (readEra > observedEra)
#else
#define RESTARTSWAIT false
#endif
#ifdef RESTORE
#define HEARERA observedEra = readEra
#else
#define HEARERA skip
#endif
#if defined(RESTORE) && !defined(DELETEANYERA)
#define DELETECOUNTS (era == observedEra)
#else
#define DELETECOUNTS true
#endif

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
		awaitingAnswer && writeState == succeeded && ISNEWERA(ERAOFANSWER) ->
		awaitingAnswer = false; writeState = idle;
		generationEnded = true; validTicks = 0
	}
	:: atomic {
		awaitingAnswer && writeState == succeeded && !ISNEWERA(ERAOFANSWER) ->
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
		:: ISNEWERA(ERAOFREAD) -> generationEnded = true; validTicks = 0
		:: !ISNEWERA(ERAOFREAD) && version == 0 ->
#ifdef SAMEGENERATION
			knownVersion = 0
#else
			generationEnded = true; validTicks = 0
#endif
		:: !ISNEWERA(ERAOFREAD) && version != 0 && sequence == newestSequence -> knownVersion = version; validTicks = termTicks
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
		SETANSWERERA;
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
	:: atomic { readState == inFlight -> SETREADERA; readVersion = version; readState = succeeded }
#ifdef RESTORE
	/* A copy is made, and later the store comes back from it. */
	:: atomic { era == 0 -> copyVersion = version; copySequence = sequence }
	:: atomic { era == 0 -> era = 1; version = copyVersion; sequence = copySequence }
#endif
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
		:: readVersion != 0 && (RESTARTSWAIT || readVersion != observedVersion) ->
			HEARERA;
			observedVersion = readVersion; waitTicks = WAIT
		:: readVersion != 0 && !RESTARTSWAIT && readVersion == observedVersion && waitTicks == 0 ->
			HEARERA;
#ifdef NODELETE
			revoked = true
#else
			/* The delete is conditional on the version that the observer judged expired. */
			if
			:: version == observedVersion -> version = 0; sequence = 0; revoked = DELETECOUNTS
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
