/*
 * A lease: its holder, an observer that breaks it, and the object.
 *
 * Time is in ticks and all clocks run at one rate; the margin that the code
 * takes off the term covers the difference, so the holder's term here is the
 * observer's less MARGIN. Every process may stand still between any two steps
 * for any number of ticks. A write may wait on its way, and its answer, too, may
 * wait or be lost; the holder reads back what it doesn't know.
 *
 * Property: once an observer broke the lease, the holder never again holds that
 * life valid. (So what the next owner does cannot meet the former owner's acts
 * under the lease.)
 *
 * The read that shows the version still may have been sent before the wait was
 * over: the delete that follows is conditional, so it comes to the same. The
 * code waits for a read that was sent later.
 *
 * Variants that must fail:
 *   FROMANSWER  the holder counts from the answer
 *   HALFTERM    the observer waits for less than the term
 *   NOBREAK     the observer takes over without deleting the object
 *   SAMELIFE    a holder whose object is gone writes it anew in the same life
 */

#define TERM   3
#define MARGIN 0
#ifdef HALFTERM
#define WAIT   1
#else
#define WAIT   TERM
#endif
#define WRITES 4
#define READS  3

/* The object: 0 is missing. */
byte version = 1;
byte sequence = 0;       /* the sequence of the write that made it */

/* The holder. It begins with a valid lease that it has just written. */
byte known = 1;          /* the version that it writes on */
byte valid = TERM;       /* ticks left */
byte written = 0;        /* sequence of its newest write */
byte age = TERM;         /* ticks left of the term, counted from the newest write's sending */
bool waits = false;      /* for an answer */
bool lookup = false;     /* it must read back */
bool lost = false;       /* its life is over */

/* Its write on the way, and the answer. */
mtype = { nothing, flying, took, conflict };
mtype write = nothing;
byte on = 0;             /* the version that the write is conditional on */
byte with = 0;           /* its sequence */

/* A write that the holder no longer waits for may still be on its way. */
bool late = false;
byte lateon = 0;
byte latewith = 0;

/* The observer. */
byte seen = 0;           /* the version seen first, 0 for none */
byte left = 0;           /* ticks left to wait since that was seen */
byte reads = 0;
mtype read = nothing;    /* the read on its way */
byte result = 0;
bool broken = false;

#define MADE(v) (v + 1)

active proctype Holder() {
	do
	/* Renew. */
	:: atomic {
		!lost && !waits && !lookup && written < WRITES ->
		written++;
		age = TERM - MARGIN;
		write = flying; on = known; with = written;
		waits = true
	}
	/* The answer. */
	:: atomic {
		waits && write == took ->
		waits = false; write = nothing;
		known = MADE(on);
#ifdef FROMANSWER
		valid = TERM - MARGIN
#else
		valid = age
#endif
	}
	:: atomic { waits && write == conflict -> waits = false; write = nothing; lookup = true }
	/* The answer is lost, or the write is. */
	:: atomic {
		waits && write != nothing && !late ->
		waits = false; lookup = true;
		if
		:: write == flying -> late = true; lateon = on; latewith = with
		:: else
		fi;
		write = nothing
	}
	/* Read back. */
	:: atomic {
		lookup ->
		lookup = false;
		if
		:: version == 0 ->
#ifdef SAMELIFE
			known = 0
#else
			lost = true; valid = 0
#endif
		:: version != 0 && sequence == written -> known = version; valid = age
		:: else -> known = version
		fi
	}
	:: lost -> break
	od
}

/* The store carries writes out. */
active proctype Store() {
	do
	:: atomic {
		write == flying ->
		if
		:: on == version -> version = MADE(version); sequence = with; write = took
		:: else -> write = conflict
		fi
	}
	:: atomic {
		late ->
		late = false;
		if
		:: lateon == version -> version = MADE(version); sequence = latewith
		:: else
		fi;
		lateon = 0; latewith = 0
	}
	:: atomic { read == flying -> result = version; read = took }
	od
}

active proctype Observer() {
	do
	:: atomic {
		!broken && read == nothing && reads < READS ->
		reads++;
		read = flying
	}
	:: atomic {
		read == took ->
		read = nothing;
		if
		:: result != 0 && result != seen -> seen = result; left = WAIT
		:: result != 0 && result == seen && left == 0 ->
#ifdef NOBREAK
			broken = true
#else
			/* The delete is conditional on the version that was judged. */
			if
			:: version == seen -> version = 0; sequence = 0; broken = true
			:: else
			fi
#endif
		:: else
		fi;
		result = 0
	}
	:: broken -> break
	od
}

#define LESS(t) if :: t > 0 -> t-- :: else fi

active proctype Clock() {
	do
	:: d_step { valid > 0 || left > 0 || age > 0 -> LESS(valid); LESS(left); LESS(age) }
	od
}

active proctype Watcher() {
	do
	:: broken && valid > 0 -> assert(false)
	:: timeout -> break
	od
}
