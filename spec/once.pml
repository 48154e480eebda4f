/*
 * A call that runs at most once: one idempotency key, two entry hosts, one target.
 *
 * Each host has one request with the key. It claims the key by a conditional
 * write of the record before it sends the call. If the answer of the claim is
 * lost, the host reads the record back, which names the claimer. A call that the
 * target refused as not run frees the key, at a higher attempt number. Any claim
 * or call may be delayed and any answer lost; a host may crash at any step and
 * gets no further request.
 *
 * The claimer is a request, not a host: a host that gets another request with the
 * key claims it under another name. The attempt number keeps a delayed claim from
 * blocking a key that was freed; the properties below don't depend on it.
 *
 * Properties
 *   - the call runs at most once
 *   - a request that was answered "not run" did not run, and never runs later
 *   - for a request that was answered "ran", the call ran, for this request or for
 *     the other one
 *
 * Variants that must fail:
 *   RECORDAFTER    the record is written after the call
 *   NOREADBACK     a claim whose answer was lost counts as made
 *   RETRY          a call that may have run is sent again
 *   FREEUNCERTAIN  a call that may have run frees the key
 *   TAKEOVERCLAIM  a claim of another request that isn't done is taken over
 *   REPLYNOTRUN    a call that may have run is answered as not run
 */

mtype = { free, claimed, done };
mtype = { unanswered, notrun, mayhaverun, ran };

/* The record. */
mtype state = free;
byte claimer = 0;
byte attempt = 0;

byte executions = 0;
bool executedFor[3];  /* the call ran for this host's request */
mtype answer[3];

byte faults = 3;
byte refusals = 2;

/* A claim in flight after its host stopped waiting for the answer. */
bool delayedClaim[3];
byte delayedAttempt[3];
/* A call in flight after its host stopped waiting for the answer. */
bool delayedCall[3];

inline claim(host, seenAttempt, ok) {
	if
	:: state == free && attempt == seenAttempt -> state = claimed; claimer = host; attempt++; ok = true
	:: else -> ok = false
	fi
}

inline execute(host) {
	executions++;
	executedFor[host] = true;
	assert(executions <= 1);
	assert(answer[host] != notrun)
}

inline reply(host, verdict) {
	assert(verdict != notrun || !executedFor[host]);
	assert(verdict != ran || executions > 0);
	answer[host] = verdict
}

proctype Entry(byte host) {
	byte seenAttempt;
	bool ok;

	/* The host reads the record. */
	atomic {
		seenAttempt = attempt;
		if
		:: state == done -> reply(host, ran); goto end
#ifdef TAKEOVERCLAIM
		:: state == claimed -> state = claimed; claimer = host; attempt++; goto send
#else
		:: state == claimed -> reply(host, mayhaverun); goto end
#endif
		:: state == free -> skip
		fi
	}
#ifdef RECORDAFTER
	goto send;
#endif
writeClaim:
	if
	:: atomic { claim(host, seenAttempt, ok) }
	/* The answer is lost. */
	:: atomic { faults > 0 -> faults--; claim(host, seenAttempt, ok) }; goto readBack
	/* The claim is delayed. */
	:: atomic { faults > 0 && !delayedClaim[host] -> faults--; delayedClaim[host] = true; delayedAttempt[host] = seenAttempt }; goto readBack
	/* The object API is unavailable, so the request is refused. */
	:: atomic { faults > 0 -> faults--; reply(host, notrun) }; goto end
	fi;
	if
	:: ok -> goto send
	:: else -> skip
	fi;
readBack:
#ifdef NOREADBACK
	goto send;
#else
	atomic {
		if
		:: state == claimed && claimer == host -> goto send
		:: state == free && attempt == seenAttempt -> goto writeClaim
		:: state == done -> reply(host, ran); goto end
		:: else -> reply(host, mayhaverun); goto end
		fi
	};
#endif
send:
	if
	:: faults > 0 -> atomic { faults--; goto end }      /* the host crashes between claim and call */
	:: atomic { execute(host) }; goto storeResult
	:: atomic { refusals > 0 -> refusals-- }; goto release
	:: atomic { faults > 0 -> faults--; execute(host) }; goto uncertain
	:: atomic { faults > 0 && !delayedCall[host] -> faults--; delayedCall[host] = true }; goto uncertain
	fi;
uncertain:
#ifdef RETRY
	goto send;
#endif
#ifdef FREEUNCERTAIN
	goto release;
#endif
#ifdef REPLYNOTRUN
	reply(host, notrun);
#else
	reply(host, mayhaverun);
#endif
	goto end;
storeResult:
	atomic {
		if
		:: true -> state = done
		:: faults > 0 -> faults--      /* the write fails: the record stays claimed */
		fi;
		reply(host, ran);
		goto end
	}
release:
	atomic {
		if
		:: state == claimed && claimer == host -> state = free
		:: else
		fi
	};
	reply(host, notrun);
end:
	skip
}

/* Delayed claims and calls arrive. */
active proctype Network() {
	bool ok;
	do
	:: atomic { delayedClaim[1] -> delayedClaim[1] = false; claim(1, delayedAttempt[1], ok) }
	:: atomic { delayedClaim[2] -> delayedClaim[2] = false; claim(2, delayedAttempt[2], ok) }
	:: atomic { delayedCall[1] -> delayedCall[1] = false; execute(1) }
	:: atomic { delayedCall[2] -> delayedCall[2] = false; execute(2) }
	od
}

init {
	atomic {
		answer[1] = unanswered;
		answer[2] = unanswered;
		run Entry(1);
		run Entry(2)
	}
}
