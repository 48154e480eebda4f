/*
 * The quota of a client account that all hosts keep together by credit.
 *
 * Time is counted in ticks. Each host earns one unit of credit in each tick, which is
 * valid in that tick and the LIFE - 1 ticks after it. A host sends a request only with
 * a unit that it holds. It may give a unit to any other host, whoever that takes for
 * the collector; the message may be lost. A host may be frozen, and earns afterwards
 * what it missed and what hasn't lapsed; it may be killed and restarted, and loses its
 * credit.
 *
 * Property: in any WINDOW ticks, all hosts together send at most what all earn in
 * WINDOW + LIFE - 1 ticks.
 *
 * A unit on its way ages as on a host: a relay takes off the time for which it keeps
 * it. What a message spends on the wire itself isn't measured (see DELAYED).
 *
 * Variants that must fail:
 *   COPY      a host keeps what it gives away
 *   RESEND    a host that hears no answer gives the unit once more
 *   RENEW     a unit is as good as new where it arrives
 *   DELAYED   a unit doesn't age on its way
 *   EARNALL   a host that was frozen earns with the full lifetime what it missed
 *   FULL      a restarted host begins with the credit of a whole lifetime
 *   NOLAPSE   credit doesn't lapse
 */

#define HOSTS 2
#define LIFE 2
#define WINDOW 2
#define TICKS 6
#define BOUND (HOSTS * (WINDOW + LIFE - 1))

/* Units of host h that are valid for t more ticks, this one included: held[h * LIFE + t - 1]. */
byte held[HOSTS * LIFE];
/* The unit on its way to a host: the ticks for which it is valid; 0 if there is none. */
byte onWay[HOSTS];
byte missed[HOSTS]; /* ticks since the host was frozen; 0 if it runs */
byte sent[WINDOW];  /* in the last ticks, the present one first */
byte total = 0;     /* sum of sent */
byte ticks = 0;
byte faults = 2;
byte h;
byte t;

#define unit(host, ttl) held[(host) * LIFE + (ttl) - 1]

inline age(host) {
#ifdef NOLAPSE
	skip
#else
	unit(host, 1) = unit(host, 2);
	unit(host, 2) = 0
#endif
}

inline tick() {
	ticks++;
	total = total - sent[1];
	sent[1] = sent[0];
	sent[0] = 0;
	for (h : 0 .. HOSTS - 1) {
		age(h);
#ifndef DELAYED
		if
		:: onWay[h] > 0 -> onWay[h]--
		:: else
		fi;
#endif
		if
		:: missed[h] > 0 -> missed[h]++
		:: else -> unit(h, LIFE)++
		fi
	}
}

inline thaw(host) {
#ifdef EARNALL
	unit(host, LIFE) = unit(host, LIFE) + missed[host] - 1;
#else
	if
	:: missed[host] >= 2 -> unit(host, LIFE)++
	:: else
	fi;
	if
	:: missed[host] >= 3 -> unit(host, LIFE - 1)++
	:: else
	fi;
#endif
	missed[host] = 0
}

inline kill(host) {
	for (t : 1 .. LIFE) {
		unit(host, t) = 0
	}
#ifdef FULL
	unit(host, LIFE) = LIFE;
#endif
}

inline give(from, ttl) {
	onWay[1 - from] = ttl;
#ifndef COPY
	unit(from, ttl)--;
#endif
}

inline receive(host) {
#ifdef RENEW
	unit(host, LIFE)++;
#else
	unit(host, onWay[host])++;
#endif
#ifdef RESEND
	if
	:: faults > 0 -> faults-- /* the answer is lost: the unit stays on its way */
	:: onWay[host] = 0
	fi
#else
	onWay[host] = 0
#endif
}

active proctype system() {
	byte host;
	byte ttl;
	do
	:: ticks < TICKS -> atomic { tick() }
	:: ticks < TICKS -> atomic {
		select(host : 0 .. HOSTS - 1);
		select(ttl : 1 .. LIFE);
		if
		:: missed[host] == 0 && unit(host, ttl) > 0 -> /* a request is sent */
			unit(host, ttl)--;
			sent[0]++;
			total++;
			assert(total <= BOUND)
		:: missed[host] == 0 && unit(host, ttl) > 0 && onWay[1 - host] == 0 -> give(host, ttl)
		:: missed[host] == 0 && onWay[host] > 0 -> receive(host)
		:: onWay[host] > 0 -> onWay[host] = 0 /* lost */
		:: missed[host] == 0 && faults > 0 -> faults--; missed[host] = 1
		:: missed[host] > 0 -> thaw(host)
		:: missed[host] == 0 && faults > 0 -> faults--; kill(host)
		:: else
		fi
	}
	:: ticks >= TICKS -> break
	od
}
