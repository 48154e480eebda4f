/*
 * Adapters ordered onto one runner by its owner, with late orders.
 *
 * The runner has PLACES places and counts the orders that it carried out. An
 * order names the count that it expects; with another count it is refused. An
 * order may lose its answer, be lost, or take effect any time later. A drop of
 * an adapter in use is accepted at once and carried out, and counted, only when
 * its runs have ended. The owner learns the runner's content from reports, which
 * may be older than the newest order. The runner may start again: empty, with its
 * count at zero. The owner keeps a place for an order that may be late.
 *
 * Properties
 *   - the runner never holds more adapters than it has places
 *   - an adapter that the owner counts as resident, with the runner's count as it
 *     believes it, is there, unless the runner started again since
 *
 * Variants that must fail:
 *   NOCOUNT    orders don't name a count
 *   EARLYDROP  the place of an adapter whose drop was accepted counts as free
 *   OLDREPORT  a report that shows fewer orders than were carried out is taken
 *   NORESERVE  no place is kept for a late order: a runner that started again may
 *              reach the count that it names
 */

#define PLACES 2
#define ADAPTERS 3
#define NONE 255

mtype = { load, drop };

/* The runner. */
bool there[ADAPTERS];
bool leaving[ADAPTERS];   /* its drop was accepted and waits for its runs */
byte held = 0;
byte count = 0;
byte life = 0;
/* What it was before the last order, for reports that lag. */
bool before[ADAPTERS];
byte countbefore = 0;

/* One order on its way after its owner stopped waiting for it. */
mtype latekind;
byte lateadapter = NONE;
byte latecount;

byte faults = 3;
byte orders = 5;

inline remember() {
	before[0] = there[0]; before[1] = there[1]; before[2] = there[2];
	countbefore = count
}

/* carry carries an order out where the count fits; result is its reply. */
inline carry(kind, a, expected, result) {
	if
#ifndef NOCOUNT
	:: count != expected -> result = 3
#endif
	:: else ->
		if
		:: kind == load && !there[a] ->
			remember(); there[a] = true; held++; count++; result = 1;
			assert(held <= PLACES)
		:: kind == load && there[a] -> result = 2
		:: kind == drop && there[a] ->
			if
			:: remember(); there[a] = false; held--; count++; result = 2  /* nobody uses it */
			:: leaving[a] = true; result = 1                              /* its runs go on */
			fi
		:: kind == drop && !there[a] -> result = 2
		fi
	fi
}

/* Runs end; orders that were held up arrive; the runner starts again. */
active proctype Runner() {
	byte a, reply;
	do
	:: atomic { leaving[0] -> leaving[0] = false; remember(); there[0] = false; held--; count++ }
	:: atomic { leaving[1] -> leaving[1] = false; remember(); there[1] = false; held--; count++ }
	:: atomic { leaving[2] -> leaving[2] = false; remember(); there[2] = false; held--; count++ }
	:: atomic { lateadapter != NONE -> a = lateadapter; lateadapter = NONE; carry(latekind, a, latecount, reply) }
	:: atomic { faults > 0 ->
		faults--; life++; held = 0; count = 0; countbefore = 0;
		there[0] = false; there[1] = false; there[2] = false;
		leaving[0] = false; leaving[1] = false; leaving[2] = false;
		before[0] = false; before[1] = false; before[2] = false }
	od
}

#ifdef NORESERVE
#define RESERVED 0
#else
#define RESERVED (lateadapter != NONE)
#endif

/* The owner: what it believes. */
active proctype Owner() {
	bool known[ADAPTERS];     /* resident */
	bool going[ADAPTERS];     /* leaving: its place is taken still */
	byte taken, expected, seen, a, reply;
	mtype kind;

ask:
	atomic {
		/* A report, as it is now or as it was before the last order. */
		if
		:: known[0] = there[0]; known[1] = there[1]; known[2] = there[2]; expected = count; seen = life
		:: count > 0 ->
			known[0] = before[0]; known[1] = before[1]; known[2] = before[2]; expected = countbefore; seen = life
		fi;
		going[0] = false; going[1] = false; going[2] = false;
		taken = known[0] + known[1] + known[2]
	};
#ifdef OLDREPORT
	expected = count;
#endif
next:
	atomic {
		assert(seen != life || expected != count ||
			((!known[0] || there[0]) && (!known[1] || there[1]) && (!known[2] || there[2])));
		if
		:: orders == 0 -> goto end
		:: else -> orders--
		fi;
		if
		:: a = 0
		:: a = 1
		:: a = 2
		fi;
		if
		:: !known[a] && !going[a] && taken + RESERVED < PLACES -> kind = load
		:: known[a] -> kind = drop
		:: else -> goto next
		fi
	};
	if
	:: atomic { carry(kind, a, expected, reply) }
	/* The answer is lost, or the order is. */
	:: atomic { faults > 0 -> faults--; carry(kind, a, expected, reply) }; goto ask
	:: atomic { faults > 0 -> faults-- }; goto ask
	/* The order is late. */
	:: atomic { faults > 0 && lateadapter == NONE ->
		faults--; latekind = kind; lateadapter = a; latecount = expected }; goto ask
	fi;
	atomic {
		if
		:: reply == 3 -> goto ask
		:: kind == load && reply == 1 -> known[a] = true; taken++; expected++
		:: kind == load && reply == 2 -> known[a] = true; taken++
		:: kind == drop && reply == 2 -> known[a] = false; taken--; goto ask
		:: kind == drop && reply == 1 ->
			known[a] = false;
#ifdef EARLYDROP
			taken--
#else
			going[a] = true
#endif
		fi;
		if
		:: going[a] && reply == 1 -> goto ask
		:: else -> goto next
		fi
	};
end:
	skip
}
