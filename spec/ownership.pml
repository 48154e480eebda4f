/*
 * Ownership of one runner with one adapter.
 *
 * The model has two or three hosts, the assignment object, and an engine that
 * checks fencing numbers (-DFENCING) or ignores them. Any process may pause
 * between any two steps, so neither pauses nor an outage of the object API need
 * steps of their own. Writing the assignment and reading it are two steps, so a
 * write whose answer is lost is the same as a delayed read.
 *
 * Time is in ticks. All clocks run at the same rate (in the code, the margin of
 * the lease covers the difference); each clock counts the ticks that are left.
 *
 *   WINDOW    how long a host may admit requests after it sent an order that the
 *             engine accepted
 *   DEADLINE  the latest deadline of a request, and of an order
 *
 * The lapse of a lease is a fault that may occur at any time, also while its
 * holder acts; lease.pml shows when it may occur. Faults, orders and requests are
 * bounded, so every run ends; the monitor checks the final state.
 *
 * With -DRESTORE (and -DFENCING) the store once loses the last write of the
 * assignment that it has acknowledged: it comes back from an older copy, in a new
 * era. Epochs of the new era are above all of before, and whoever acquires the
 * runner in it takes over, whatever the copy says of how it was handed over.
 *
 * Properties
 *   - no unload takes effect while a request runs on the adapter
 *   - on an engine that checks fencing numbers, no order takes effect after one of
 *     a later epoch
 *   - no two hosts act at the same epoch
 *   - at the end the runner is owned by a live host that may load and unload
 *
 * Variants that must fail:
 *   NOFENCE             the engine ignores fencing numbers, but the runner changes
 *                       owner as if the engine checked them
 *   NOWAIT              a new owner doesn't wait
 *   WAITFROMREAD        the wait starts when the new owner reads the assignment
 *   NOWINDOW            a host admits requests without a recent accepted order
 *   WINDOWFROMANSWER    the window starts at the answer, not when the order is sent
 *   NOCANCEL            after the wait, requests that still run aren't cancelled
 *   REPORTENDSWAIT      a report that shows the engine idle ends the wait
 *   LATEREPORTENDSWAIT  such a report ends the wait if it was made after the former
 *                       owner's window; on an engine that checks fencing numbers
 *                       this holds with -DPROMPTARRIVAL, where every admitted
 *                       request has arrived by then
 *   UNCONDITIONAL       the assignment is written without a condition
 *   ASSUMEDRAINED       a runner that is handed over counts as drained
 *   CHAINED             a runner counts as drained also if the host that hands it
 *                       over is still waiting for an earlier owner itself
 *   UNANSWEREDORDER     engine ignores numbers: a runner is handed over while an
 *                       order is unanswered
 *   IGNOREUNCERTAIN     an unanswered order doesn't stop admission
 *   NODEADLINE          the engine ignores deadlines
 *   SAMEEPOCH           a new incarnation of a host keeps its epoch
 *   LAPSETAKEOVER       engine ignores numbers: a lapsed lease alone is enough for
 *                       a takeover
 *   ADMITEARLY          engine ignores numbers: requests are admitted during the wait
 *   NOERA               with -DRESTORE: epochs go on from those of the copy
 *   KEEPDRAINED         with -DRESTORE: what the copy says of draining counts
 *
 * Not in the model: an engine that restarts and forgets the highest fencing
 * number, and a host that the platform reports as gone while it still runs.
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef FAULTS
#define FAULTS 2  /* crashes, lapsed leases, handovers and lost answers in total */
#endif
#ifndef REQUESTS
#define REQUESTS 1
#endif
#define NONE 9
#define MAXINFLIGHT 2  /* maximum number in flight at once */
#ifndef EPOCHORDERS
#define EPOCHORDERS 3  /* maximum number of orders in one epoch */
#endif
#define WINDOW 1
#ifndef DEADLINE
#define DEADLINE 1
#endif

mtype = { idle, admitted, sent, running, ended };
mtype = { none, fence, load, unload };
mtype = { inFlight, accepted, refused };

/* The object API. */
byte owner = 0;
byte epoch = 1;
bool drained = true;       /* the former owner had drained the runner */
byte handoverFrom = NONE;  /* the host that handed the runner over and reports when it is drained, or NONE */

#ifdef RESTORE
#ifdef NOERA
#define ERASHIFT 0
#else
#define ERASHIFT 16
#endif
byte copyOwner = 0;      /* the assignment before its last write */
byte copyEpoch = 1;
bool copyDrained = true;
bool restored = false;
#define KEEPCOPY copyOwner = owner; copyEpoch = epoch; copyDrained = drained
#else
#define KEEPCOPY skip
#endif

/* The hosts. */
typedef Host {
	bool alive;
	byte readEpoch;      /* epoch of the assignment when last read */
	byte actingEpoch;    /* epoch at which the host acts as owner, 0 for none */
	byte number;         /* low part of the last fencing number */
	byte window;         /* ticks left in which it may admit requests */
	byte takeoverWait;   /* ticks left before it may cancel requests and evict adapters */
	bool inherited;      /* requests of an earlier owner may still run */
	bool fenced;         /* the engine accepted an order of this epoch */
	bool uncertain;      /* the newest order is unanswered */
	byte orderDeadline;  /* ticks left until the deadline of that order */
	bool draining;
}
Host host[HOSTS];

/* The engine. */
bool resident = true;
byte engineEpoch = 0;
byte engineNumber = 0;
byte effectiveEpoch = 0;  /* highest epoch of which an order took effect */

/* Orders in flight, and requests. */
typedef Order {
	mtype kind;
	mtype state;
	byte from;
	byte epoch;
	byte number;
	byte deadline;
	byte window;  /* ticks left of WINDOW since the order was sent */
}
Order order[MAXINFLIGHT];

typedef Request {
	mtype state;
	byte from;
	byte deadline;
}
Request request[REQUESTS];

byte faults = FAULTS;  /* faults left */

#define PINNED(i, r) (request[r].from == i && (request[r].state == admitted || request[r].state == sent || request[r].state == running))
#if REQUESTS == 1
#define HASPINNED(i) PINNED(i, 0)
#define REQUESTRUNNING (request[0].state == running)
#else
#define HASPINNED(i) (PINNED(i, 0) || PINNED(i, 1))
#define REQUESTRUNNING (request[0].state == running || request[1].state == running)
#endif

#define ENDREQUEST(r) request[r].state = ended; request[r].from = 0; request[r].deadline = 0

#ifdef IGNOREUNCERTAIN
#define CERTAIN(i) true
#else
#define CERTAIN(i) !host[i].uncertain
#endif

#ifdef NOWINDOW
#define INWINDOW(i) true
#else
#define INWINDOW(i) (host[i].window > 0)
#endif

/* On an engine that ignores fencing numbers, an order of a former owner can take
 * effect until its deadline, so nothing is admitted before the wait is over. */
#if defined(FENCING) || defined(ADMITEARLY)
#define MAYADMIT(i) true
#else
#define MAYADMIT(i) !host[i].inherited
#endif

/* Time by which a request must reach the engine: its deadline, which the engine
 * checks, or with -DPROMPTARRIVAL (an assumption on pauses and the network) the end
 * of the window in which it was admitted. */
#ifdef PROMPTARRIVAL
#define ARRIVALDEADLINE(i) host[i].window
#else
#define ARRIVALDEADLINE(i) DEADLINE
#endif

/* Whether an owner may lose the runner to another host because its lease lapsed. */
#if defined(FENCING) || defined(LAPSETAKEOVER)
#define MAYLOSELEASE(i) (faults > 0)
#else
#define MAYLOSELEASE(i) false
#endif

inline resetHost(i) {
	host[i].actingEpoch = 0;
	host[i].number = 0;
	host[i].window = 0;
	host[i].takeoverWait = 0;
	host[i].inherited = false;
	host[i].fenced = false;
	host[i].uncertain = false;
	host[i].orderDeadline = 0;
	host[i].draining = false
}

/* readAssignment reads the assignment and adopts its epoch if host i is the owner. */
inline readAssignment(i) {
	host[i].readEpoch = epoch;
	if
	:: owner == i && host[i].actingEpoch != epoch ->
		resetHost(i);
		host[i].actingEpoch = epoch;
#ifdef NOWAIT
		host[i].inherited = false
#else
		host[i].inherited = !drained
#endif
#ifdef WAITFROMREAD
		; host[i].takeoverWait = WINDOW + DEADLINE
#endif
	:: owner != i -> resetHost(i)
	:: else
	fi
}

/* assign makes host "to" the owner; callers check READISCURRENT, the write condition. */
inline assign(to, isDrained) {
	KEEPCOPY;
	owner = to;
	handoverFrom = NONE;
	drained = isDrained;
	epoch++
}

#ifdef UNCONDITIONAL
#define READISCURRENT(i) true
#define INCREMENTEPOCH(i) epoch = host[i].readEpoch + 1
#else
#define READISCURRENT(i) (host[i].readEpoch == epoch)
#define INCREMENTEPOCH(i) epoch++
#endif

#define UNUSED(o) (order[o].kind == none)

inline sendOrder(i, orderKind, s) {
	if
	:: UNUSED(0) -> s = 0
	:: else -> s = 1
	fi;
	host[i].number++;
	order[s].kind = orderKind;
	order[s].state = inFlight;
	order[s].from = i;
	order[s].epoch = host[i].actingEpoch;
	order[s].number = host[i].number;
	order[s].window = WINDOW;
	host[i].uncertain = true;
#ifndef FENCING
	order[s].deadline = DEADLINE;
	host[i].orderDeadline = DEADLINE;
#endif
	s = 0
}

#define CANORDER(i) (host[i].alive && host[i].actingEpoch != 0 && host[i].number < EPOCHORDERS && (UNUSED(0) || UNUSED(1)))

proctype HostProcess(byte i) {
	byte s;
	do
	/* The host reads the assignment, through a watch or otherwise. */
	:: atomic { host[i].alive && host[i].readEpoch != epoch -> readAssignment(i) }

	/* The host sends a fence order with its fencing number. If the engine checks
	 * fencing numbers, this also resolves an unanswered order. */
#ifdef FENCING
	:: atomic { CANORDER(i) && (!host[i].fenced || host[i].window == 0 || host[i].uncertain) -> sendOrder(i, fence, s) }
#else
	:: atomic { CANORDER(i) && !host[i].uncertain && (!host[i].fenced || host[i].window == 0) -> sendOrder(i, fence, s) }
	:: atomic { host[i].alive && host[i].uncertain && host[i].orderDeadline == 0 -> host[i].uncertain = false }
#endif

	/* A request is pinned and admitted, and sent in a later step. */
	:: atomic {
		host[i].alive && host[i].actingEpoch != 0 && !host[i].draining && host[i].fenced &&
		INWINDOW(i) && MAYADMIT(i) && CERTAIN(i) && request[0].state == idle ->
		request[0].state = admitted; request[0].from = i; request[0].deadline = ARRIVALDEADLINE(i)
	}
	:: atomic { host[i].alive && request[0].state == admitted && request[0].from == i -> request[0].state = sent }
#if REQUESTS > 1
	:: atomic {
		host[i].alive && host[i].actingEpoch != 0 && !host[i].draining && host[i].fenced &&
		INWINDOW(i) && MAYADMIT(i) && CERTAIN(i) && request[1].state == idle ->
		request[1].state = admitted; request[1].from = i; request[1].deadline = ARRIVALDEADLINE(i)
	}
	:: atomic { host[i].alive && request[1].state == admitted && request[1].from == i -> request[1].state = sent }
#endif

	/* After the wait, requests of earlier owners that still run are cancelled. */
	:: atomic {
		host[i].alive && host[i].inherited && host[i].fenced && host[i].takeoverWait == 0 ->
		host[i].inherited = false;
#ifndef NOCANCEL
		if
		:: request[0].state == running && request[0].from != i -> ENDREQUEST(0)
		:: else
		fi
#if REQUESTS > 1
		;
		if
		:: request[1].state == running && request[1].from != i -> ENDREQUEST(1)
		:: else
		fi
#endif
#endif
	}
	/* The former owner reports that it has drained the runner. */
	:: atomic {
		host[i].alive && host[i].inherited && host[i].fenced && owner == i && host[i].actingEpoch == epoch &&
		handoverFrom != NONE && !HASPINNED(handoverFrom) -> host[i].inherited = false
	}
#ifdef REPORTENDSWAIT
	/* A report made after the fence order was accepted shows the engine idle. */
	:: atomic { host[i].alive && host[i].inherited && host[i].fenced && !REQUESTRUNNING -> host[i].inherited = false }
#endif
#ifdef LATEREPORTENDSWAIT
	/* A report made after the former owner's window shows the engine idle. */
	:: atomic {
		host[i].alive && host[i].inherited && host[i].fenced && host[i].takeoverWait <= DEADLINE && !REQUESTRUNNING ->
		host[i].inherited = false
	}
#endif

	/* Orders that load or unload the adapter. */
	:: atomic {
		CANORDER(i) && host[i].fenced && !host[i].inherited && !host[i].draining &&
		CERTAIN(i) && resident && !HASPINNED(i) -> sendOrder(i, unload, s)
	}
	:: atomic {
		CANORDER(i) && host[i].fenced && !host[i].inherited && !host[i].draining &&
		CERTAIN(i) && !resident -> sendOrder(i, load, s)
	}

	/* Planned handover: hand over once no order is unanswered, then drain. */
	:: atomic { host[i].alive && host[i].actingEpoch != 0 && !host[i].draining && faults > 0 -> faults--; host[i].draining = true }
	:: atomic {
#ifdef UNANSWEREDORDER
		host[i].alive && host[i].draining && READISCURRENT(i) ->
#else
		host[i].alive && host[i].draining && READISCURRENT(i) && !host[i].uncertain ->
#endif
#ifdef ASSUMEDRAINED
		assign((i + 1) % HOSTS, true);
#else
#ifdef CHAINED
		assign((i + 1) % HOSTS, !HASPINNED(i));
		handoverFrom = i;
#else
		assign((i + 1) % HOSTS, !HASPINNED(i) && !host[i].inherited);
		if
		:: !host[i].inherited -> handoverFrom = i
		:: else
		fi;
#endif
#endif
		readAssignment(i)
	}

	/* Takeover from a host that the platform reports as gone, or whose lease lapsed. */
	:: atomic {
		host[i].alive && owner != i && READISCURRENT(i) && !host[owner].alive ->
		KEEPCOPY;
		owner = i; drained = false; handoverFrom = NONE; INCREMENTEPOCH(i)
	}
	:: atomic {
		host[i].alive && owner != i && READISCURRENT(i) && host[owner].alive && MAYLOSELEASE(owner) ->
		KEEPCOPY;
		faults--; owner = i; drained = false; handoverFrom = NONE; INCREMENTEPOCH(i)
	}

	/* Crash and restart; the new incarnation keeps the runner it owned, at a new epoch. */
	:: atomic {
		host[i].alive && faults > 0 ->
		faults--;
		host[i].alive = false;
		if
		:: handoverFrom == i -> handoverFrom = NONE
		:: else
		fi;
		resetHost(i);
		host[i].readEpoch = 0;
		if
		:: request[0].state == admitted && request[0].from == i -> ENDREQUEST(0)
		:: else
		fi
#if REQUESTS > 1
		;
		if
		:: request[1].state == admitted && request[1].from == i -> ENDREQUEST(1)
		:: else
		fi
#endif
	}
	:: atomic {
		!host[i].alive ->
		host[i].alive = true;
#ifdef SAMEEPOCH
		skip
#else
		if
		:: owner == i -> KEEPCOPY; drained = false; handoverFrom = NONE; epoch++
		:: else
		fi
#endif
	}
	od
}

/* execute executes an order that has arrived at the engine. */
inline execute(o) {
#ifdef FENCING
#ifndef NOFENCE
	if
	:: order[o].epoch < engineEpoch || (order[o].epoch == engineEpoch && order[o].number <= engineNumber) ->
		order[o].state = refused;
		goto nextEvent
	:: else
	fi;
#endif
	engineEpoch = order[o].epoch;
	engineNumber = order[o].number;
	assert(order[o].epoch >= effectiveEpoch);
	effectiveEpoch = order[o].epoch;
#else
#ifndef NODEADLINE
	if
	:: order[o].deadline == 0 ->
		order[o].state = refused;
		goto nextEvent
	:: else
	fi;
#endif
#endif
	if
	:: order[o].kind == unload -> assert(!REQUESTRUNNING); resident = false
	:: order[o].kind == load -> resident = true
	:: else
	fi;
	order[o].state = accepted
}

/* deliverAnswer delivers the answer of an order to the host that sent it, unless
 * that host has crashed or acts at another epoch by now. */
inline deliverAnswer(o) {
	if
	:: host[order[o].from].alive && host[order[o].from].actingEpoch == order[o].epoch ->
		if
		:: order[o].number == host[order[o].from].number -> host[order[o].from].uncertain = false
		:: else
		fi;
		if
		:: order[o].state == accepted ->
#ifdef WINDOWFROMANSWER
			host[order[o].from].window = WINDOW;
#else
			host[order[o].from].window = order[o].window;
#endif
			if
			:: !host[order[o].from].fenced ->
				host[order[o].from].fenced = true;
#ifndef WAITFROMREAD
				if
				:: host[order[o].from].inherited -> host[order[o].from].takeoverWait = WINDOW + DEADLINE
				:: else
				fi
#endif
			:: else
			fi
		:: else
		fi
	:: else
	fi
}

inline clearOrder(o) {
	order[o].kind = none;
	order[o].state = 0;
	order[o].from = 0;
	order[o].epoch = 0;
	order[o].number = 0;
	order[o].deadline = 0;
	order[o].window = 0
}

inline deliverRequest(r) {
	if
#ifdef NODEADLINE
	:: resident -> request[r].state = running; request[r].deadline = 0
#else
	:: resident && request[r].deadline > 0 -> request[r].state = running; request[r].deadline = 0
#endif
	:: else -> ENDREQUEST(r)
	fi
}

#ifdef RESTORE
active proctype Store() {
	atomic {
		!restored && faults > 0 ->
		faults--;
		restored = true;
		owner = copyOwner;
		epoch = copyEpoch + ERASHIFT;
#ifdef KEEPDRAINED
		drained = copyDrained;
#else
		drained = false;
#endif
		handoverFrom = NONE
	}
}
#endif

active proctype Engine() {
nextEvent:
	do
	:: atomic { order[0].kind != none && order[0].state == inFlight -> execute(0) }
	:: atomic { order[1].kind != none && order[1].state == inFlight -> execute(1) }
	:: atomic { order[0].kind != none && order[0].state != inFlight -> deliverAnswer(0); clearOrder(0) }
	:: atomic { order[1].kind != none && order[1].state != inFlight -> deliverAnswer(1); clearOrder(1) }
	/* The answer is lost. */
	:: atomic { order[0].kind != none && order[0].state != inFlight && faults > 0 -> faults--; clearOrder(0) }
	:: atomic { order[1].kind != none && order[1].state != inFlight && faults > 0 -> faults--; clearOrder(1) }
	:: atomic { request[0].state == sent -> deliverRequest(0) }
	:: atomic { request[0].state == running -> ENDREQUEST(0) }
#if REQUESTS > 1
	:: atomic { request[1].state == sent -> deliverRequest(1) }
	:: atomic { request[1].state == running -> ENDREQUEST(1) }
#endif
	od
}

#define DECREMENT(t) if :: t > 0 -> t-- :: else fi

inline advance(i) {
	DECREMENT(host[i].window);
	DECREMENT(host[i].takeoverWait);
	DECREMENT(host[i].orderDeadline)
}

#define HOSTTIMERS(i) (host[i].window > 0 || host[i].takeoverWait > 0 || host[i].orderDeadline > 0)
#define ORDERTIMERS(o) (order[o].window > 0 || order[o].deadline > 0)
#if HOSTS == 2
#define ANYHOSTTIMER (HOSTTIMERS(0) || HOSTTIMERS(1))
#else
#define ANYHOSTTIMER (HOSTTIMERS(0) || HOSTTIMERS(1) || HOSTTIMERS(2))
#endif
#if REQUESTS == 1
#define REQUESTTIMERS (request[0].deadline > 0)
#else
#define REQUESTTIMERS (request[0].deadline > 0 || request[1].deadline > 0)
#endif

active proctype Clock() {
	do
	:: d_step {
		ANYHOSTTIMER || ORDERTIMERS(0) || ORDERTIMERS(1) || REQUESTTIMERS ->
		advance(0);
		advance(1);
#if HOSTS > 2
		advance(2);
#endif
		DECREMENT(order[0].window);
		DECREMENT(order[0].deadline);
		DECREMENT(order[1].window);
		DECREMENT(order[1].deadline);
		DECREMENT(request[0].deadline);
#if REQUESTS > 1
		DECREMENT(request[1].deadline);
#endif
	}
	od
}

#define CANCHANGE(i) (host[i].fenced && !host[i].inherited)
/* Whether host i has sent all its orders of the epoch, a limit of the model only. */
#define NUMBERSEXHAUSTED(i) (host[i].number == EPOCHORDERS)

#define ACTATSAMEEPOCH(i, j) (host[i].alive && host[j].alive && host[i].actingEpoch != 0 && host[i].actingEpoch == host[j].actingEpoch)

active proctype Monitor() {
	do
	:: ACTATSAMEEPOCH(0, 1) -> assert(false)
#if HOSTS > 2
	:: ACTATSAMEEPOCH(0, 2) || ACTATSAMEEPOCH(1, 2) -> assert(false)
#endif
	:: timeout ->
		assert(host[owner].alive && host[owner].actingEpoch == epoch && (CANCHANGE(owner) || NUMBERSEXHAUSTED(owner)));
		break
	od
}

init {
	atomic {
		byte i = 0;
		do
		:: i < HOSTS ->
			host[i].alive = true;
			run HostProcess(i);
			i++
		:: else -> break
		od;
		request[0].state = idle;
#if REQUESTS > 1
		request[1].state = idle;
#endif
		order[0].kind = none;
		order[1].kind = none
	}
}
