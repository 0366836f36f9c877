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
#define TTL   3   /* duration of a lease, steps */
#define DELAY 2   /* longest time that an order is in flight, steps */
#define END   14  /* last step of the model */
/* Steps between the end of a lease and its grant to another holder. */
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

inline take (id)
{
  atomic {
    if
    :: (holder == 0 || (holder != id && now >= lease_end + WAIT)) ->
       holder = id;
       lease_end = now + TTL;
       own_end[id] = now + TTL
    :: else -> skip
    fi
  }
}

inline send (id)
{
  atomic {
    if
    :: own_end[id] > now && orders[id] == 0 -> orders[id] = now + DELAY
    :: else -> skip
    fi
  }
}

inline arrive (id)
{
  atomic {
    if
    :: orders[id] != 0 ->
       orders[id] = 0;
       assert (id >= latest);
       latest = id
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
