/*
 * A call that runs at most once: one key, two entry hosts, one target.
 *
 * Each host has one request with the key. It claims the key by a conditional
 * write of the record before it sends the call. A lost answer of the claim is
 * read back: the record says whose claim stands. A call that the target refused
 * as not run sets the key free, at a higher attempt number. All calls may be
 * late, answers lost; a host may crash at any step and is not asked again.
 *
 * The claimer is one request, not one host: a host that takes another request
 * with the key claims under another name. The attempt number keeps a late claim
 * from blocking a key that was set free; the properties below don't need it.
 *
 * Properties
 *   - the call runs at most once
 *   - a request that was told "not run" did not run, and does not later
 *   - a request that was told "ran" did run, by itself or by the other
 *
 * Variants that must fail:
 *   RECORDAFTER  the record is written after the call
 *   NOREADBACK   a claim whose answer was lost counts as made
 *   RETRY        a call that may have run is sent again
 *   FREELOST     a call that may have run sets the key free
 *   STEAL        a claim that another made and that isn't done is taken over
 *   SAYNOTRUN    a call that may have run is answered as not run
 */

mtype = { free, claimed, done };
mtype = { silent, notrun, mayhaverun, ran };

/* The record: state, whose claim, attempt number. */
mtype state = free;
byte claimer = 0;
byte attempt = 0;

byte runs = 0;
bool ranfor[3];          /* the call ran for that host's request */
mtype said[3];

byte faults = 3;
byte refusals = 2;

/* A claim on its way after its host stopped waiting for it. */
bool lateclaim[3];
byte lateattempt[3];
/* A call on its way after its host stopped waiting for it. */
bool latecall[3];

inline claim(me, seen, ok) {
	if
	:: state == free && attempt == seen -> state = claimed; claimer = me; attempt++; ok = true
	:: else -> ok = false
	fi
}

inline execute(me) {
	runs++;
	ranfor[me] = true;
	assert(runs <= 1);
	assert(said[me] != notrun)
}

inline say(me, what) {
	assert(what != notrun || !ranfor[me]);
	assert(what != ran || runs > 0);
	said[me] = what
}

proctype Entry(byte me) {
	byte seen;
	bool ok;

	/* The record is read. */
	atomic {
		seen = attempt;
		if
		:: state == done -> say(me, ran); goto end
#ifdef STEAL
		:: state == claimed -> state = claimed; claimer = me; attempt++; goto call
#else
		:: state == claimed -> say(me, mayhaverun); goto end
#endif
		:: state == free -> skip
		fi
	}
#ifdef RECORDAFTER
	goto call;
#endif
write:
	if
	:: atomic { claim(me, seen, ok) }
	/* The answer is lost. */
	:: atomic { faults > 0 -> faults--; claim(me, seen, ok) }; goto settle
	/* The claim is late. */
	:: atomic { faults > 0 && !lateclaim[me] -> faults--; lateclaim[me] = true; lateattempt[me] = seen }; goto settle
	/* The object API is down and refuses. */
	:: atomic { faults > 0 -> faults--; say(me, notrun) }; goto end
	fi;
	if
	:: ok -> goto call
	:: else -> skip
	fi;
settle:
#ifdef NOREADBACK
	goto call;
#else
	atomic {
		if
		:: state == claimed && claimer == me -> goto call
		:: state == free && attempt == seen -> goto write
		:: state == done -> say(me, ran); goto end
		:: else -> say(me, mayhaverun); goto end
		fi
	};
#endif
call:
	if
	:: faults > 0 -> atomic { faults--; goto end }      /* crash between record and call */
	:: atomic { execute(me) }; goto store
	:: atomic { refusals > 0 -> refusals-- }; goto release
	:: atomic { faults > 0 -> faults--; execute(me) }; goto unknown
	:: atomic { faults > 0 && !latecall[me] -> faults--; latecall[me] = true }; goto unknown
	fi;
unknown:
#ifdef RETRY
	goto call;
#endif
#ifdef FREELOST
	goto release;
#endif
#ifdef SAYNOTRUN
	say(me, notrun);
#else
	say(me, mayhaverun);
#endif
	goto end;
store:
	atomic {
		if
		:: true -> state = done
		:: faults > 0 -> faults--      /* the record stays claimed */
		fi;
		say(me, ran);
		goto end
	}
release:
	atomic {
		if
		:: state == claimed && claimer == me -> state = free
		:: else
		fi
	};
	say(me, notrun);
end:
	skip
}

/* What is late arrives. */
active proctype Network() {
	bool ok;
	do
	:: atomic { lateclaim[1] -> lateclaim[1] = false; claim(1, lateattempt[1], ok) }
	:: atomic { lateclaim[2] -> lateclaim[2] = false; claim(2, lateattempt[2], ok) }
	:: atomic { latecall[1] -> latecall[1] = false; execute(1) }
	:: atomic { latecall[2] -> latecall[2] = false; execute(2) }
	od
}

init {
	atomic {
		said[1] = silent;
		said[2] = silent;
		run Entry(1);
		run Entry(2)
	}
}
