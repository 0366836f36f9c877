/*
 * A bounded model of orders to an engine that ignores fencing numbers, for spin
 * (make model). It checks that, with time-limited leases and a bound on the
 * time that an order is in flight, no order of an old holder arrives after an
 * order of the next holder.
 *
 * Time advances in steps. A holder may send until its lease, counted from
 * before it requested the lease, has ended. An order arrives within DELAY steps
 * after it is sent. The control group grants the lease to another holder only
 * DELAY steps after the old lease has ended. The model omits renewals and
 * clocks that differ in rate.
 *
 * -DBREAK_WAIT grants the lease as soon as the old one has ended; the check
 * must then fail.
 */
#define TTL   3
#define DELAY 2
#define END   14
#ifdef BREAK_WAIT
#define WAIT  0
#else
#define WAIT  DELAY
#endif

byte now;
byte holder;        /* holder of the lease: 1 or 2, 0 for none */
byte lease_end;
byte orders[3];     /* per holder, the latest arrival of its order in flight;
                       0 for none */
byte latest;        /* highest-numbered holder whose order has arrived */
byte own_end[3];    /* when a holder considers its lease ended */

inline take (who)
{
  atomic {
    if
    :: (holder == 0 || (holder != who && now >= lease_end + WAIT)) ->
       holder = who;
       lease_end = now + TTL;
       own_end[who] = now + TTL
    :: else -> skip
    fi
  }
}

inline send (who)
{
  atomic {
    if
    :: own_end[who] > now && orders[who] == 0 -> orders[who] = now + DELAY
    :: else -> skip
    fi
  }
}

inline arrive (who)
{
  atomic {
    if
    :: orders[who] != 0 ->
       orders[who] = 0;
       assert (who >= latest);
       latest = who
    :: else -> skip
    fi
  }
}

/* Advances the time, but not beyond the latest arrival of an order in
 * flight. */
inline tick ()
{
  atomic {
    if
    :: (now < END && (orders[1] == 0 || orders[1] > now) &&
        (orders[2] == 0 || orders[2] > now)) -> now++
    :: else -> skip
    fi
  }
}

active proctype engine ()
{
end:
  do
  :: holder == 0 -> take (1)
  :: holder == 1 -> take (2)
  :: true -> send (1)
  :: true -> send (2)
  :: true -> arrive (1)
  :: true -> arrive (2)
  :: true -> tick ()
  od
}
