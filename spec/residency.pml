/*
 * Adapters that an owner loads onto one runner, with delayed orders.
 *
 * The runner has SLOTS adapter slots and counts the orders that it executed. An
 * order names the count that it expects; the runner refuses it at any other
 * count. The answer of an order may be lost, the order itself may be lost, or it
 * may take effect at any later time. An order to unload an adapter that is in use
 * is accepted at once, but it is executed and counted only when the requests on
 * the adapter have ended. The owner knows the content of the runner from reports,
 * which may be older than the newest order. The runner may restart; it is then
 * empty and its count is zero. The owner reserves a slot for an order that may
 * still take effect.
 *
 * Properties
 *   - the runner never holds more adapters than it has slots
 *   - if the runner's count is the one that the owner expects, each adapter that
 *     the owner regards as resident is resident, unless the runner restarted since
 *
 * Variants that must fail:
 *   NOCOUNT      orders don't name an expected count
 *   EARLYFREE    the slot of an adapter counts as free once its unload is accepted
 *   STALEREPORT  the owner uses a report that covers fewer orders than were executed
 *   NORESERVE    no slot is reserved for a delayed order: a runner that restarted
 *                may reach the count that the order names
 */

#define SLOTS 2
#define ADAPTERS 3
#define NONE 255

mtype = { load, unload };

/* The runner. */
bool resident[ADAPTERS];
bool unloading[ADAPTERS];  /* an unload was accepted and waits for requests to end */
byte occupied = 0;         /* slots that hold an adapter */
byte executed = 0;         /* orders executed in this incarnation */
byte incarnation = 0;
/* The state of the runner before its last order, for stale reports. */
bool previousResident[ADAPTERS];
byte previousExecuted = 0;

/* An order still in flight after the owner stopped waiting for its answer. */
mtype delayedKind;
byte delayedAdapter = NONE;
byte delayedExpected;

/* Bounds of the model. */
byte faults = 3;
byte orders = 5;

inline savePrevious() {
	previousResident[0] = resident[0]; previousResident[1] = resident[1]; previousResident[2] = resident[2];
	previousExecuted = executed
}

/* execute executes an order if the runner's count is the expected one. It sets
 * result to 1 if the load was executed or the unload accepted, to 2 if the adapter
 * is unloaded at once or was already in the requested state, to 3 if refused. */
inline execute(kind, a, expected, result) {
	if
#ifndef NOCOUNT
	:: executed != expected -> result = 3
#endif
	:: else ->
		if
		:: kind == load && !resident[a] ->
			savePrevious(); resident[a] = true; occupied++; executed++; result = 1;
			assert(occupied <= SLOTS)
		:: kind == load && resident[a] -> result = 2
		:: kind == unload && resident[a] ->
			if
			:: savePrevious(); resident[a] = false; occupied--; executed++; result = 2  /* not in use */
			:: unloading[a] = true; result = 1                                          /* in use */
			fi
		:: kind == unload && !resident[a] -> result = 2
		fi
	fi
}

/* Requests end and let an unload finish, a delayed order arrives, or the runner
 * restarts. */
active proctype Runner() {
	byte a, reply;
	do
	:: atomic { unloading[0] -> unloading[0] = false; savePrevious(); resident[0] = false; occupied--; executed++ }
	:: atomic { unloading[1] -> unloading[1] = false; savePrevious(); resident[1] = false; occupied--; executed++ }
	:: atomic { unloading[2] -> unloading[2] = false; savePrevious(); resident[2] = false; occupied--; executed++ }
	:: atomic { delayedAdapter != NONE -> a = delayedAdapter; delayedAdapter = NONE; execute(delayedKind, a, delayedExpected, reply) }
	:: atomic { faults > 0 ->
		faults--; incarnation++; occupied = 0; executed = 0; previousExecuted = 0;
		resident[0] = false; resident[1] = false; resident[2] = false;
		unloading[0] = false; unloading[1] = false; unloading[2] = false;
		previousResident[0] = false; previousResident[1] = false; previousResident[2] = false }
	od
}

#ifdef NORESERVE
#define RESERVED 0
#else
#define RESERVED (delayedAdapter != NONE)
#endif

/* The owner, with its view of the runner. */
active proctype Owner() {
	bool knownResident[ADAPTERS];
	bool knownUnloading[ADAPTERS];  /* still occupies its slot */
	byte usedSlots, expected, knownIncarnation, a, reply;
	mtype kind;

readReport:
	atomic {
		/* The report shows the current state, or the state before the last order. */
		if
		:: knownResident[0] = resident[0]; knownResident[1] = resident[1]; knownResident[2] = resident[2]; expected = executed; knownIncarnation = incarnation
		:: executed > 0 ->
			knownResident[0] = previousResident[0]; knownResident[1] = previousResident[1]; knownResident[2] = previousResident[2]; expected = previousExecuted; knownIncarnation = incarnation
		fi;
		knownUnloading[0] = false; knownUnloading[1] = false; knownUnloading[2] = false;
		usedSlots = knownResident[0] + knownResident[1] + knownResident[2]
	};
#ifdef STALEREPORT
	expected = executed;
#endif
nextOrder:
	atomic {
		assert(knownIncarnation != incarnation || expected != executed ||
			((!knownResident[0] || resident[0]) && (!knownResident[1] || resident[1]) && (!knownResident[2] || resident[2])));
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
		:: !knownResident[a] && !knownUnloading[a] && usedSlots + RESERVED < SLOTS -> kind = load
		:: knownResident[a] -> kind = unload
		:: else -> goto nextOrder
		fi
	};
	if
	:: atomic { execute(kind, a, expected, reply) }
	/* The answer is lost, or the order is. */
	:: atomic { faults > 0 -> faults--; execute(kind, a, expected, reply) }; goto readReport
	:: atomic { faults > 0 -> faults-- }; goto readReport
	/* The order is delayed. */
	:: atomic { faults > 0 && delayedAdapter == NONE ->
		faults--; delayedKind = kind; delayedAdapter = a; delayedExpected = expected }; goto readReport
	fi;
	atomic {
		if
		:: reply == 3 -> goto readReport
		:: kind == load && reply == 1 -> knownResident[a] = true; usedSlots++; expected++
		:: kind == load && reply == 2 -> knownResident[a] = true; usedSlots++
		:: kind == unload && reply == 2 -> knownResident[a] = false; usedSlots--; goto readReport
		:: kind == unload && reply == 1 ->
			knownResident[a] = false;
#ifdef EARLYFREE
			usedSlots--
#else
			knownUnloading[a] = true
#endif
		fi;
		if
		:: knownUnloading[a] && reply == 1 -> goto readReport
		:: else -> goto nextOrder
		fi
	};
end:
	skip
}
