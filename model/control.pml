/*
 * A bounded model of the control group's rules, for spin (make model).
 *
 * The model covers terms, votes that survive crashes, elections by majority
 * with the up-to-date check, replication of single entries, commit by count in
 * the leader's own term only, and the replacement of one replica that lost its
 * data. The replacement returns with a new identity and votes once it has been
 * made a voter. A message is modelled as a rendezvous between two replicas, and
 * rendezvous happen in any order. A rendezvous that never happens stands for a
 * lost message; a step of an old leader long after the election of a new one
 * stands for a delayed message.
 *
 * The model omits pre-vote, check-quorum and timing (they only affect
 * availability), snapshots, reads, groups larger than three, and more than
 * MAX_TERM terms and MAX_LOG entries.
 *
 * -DBREAK_UP_TO_DATE, -DBREAK_VOTE, -DBREAK_OWN_TERM and -DBREAK_REPLACE each
 * disable one rule; the check must then fail.
 */
#define N        3 /* number of replicas */
#define MAX_TERM 4 /* highest term of the model */
#define MAX_LOG  2 /* largest number of entries in a log */

#ifdef BREAK_UP_TO_DATE
#define UP_TO_DATE true
#else
#define UP_TO_DATE (lc > lv || (lc == lv && log_len[c] >= log_len[v]))
#endif
#ifdef BREAK_VOTE
#define KEEPS_VOTE false
#else
#define KEEPS_VOTE true
#endif
#ifdef BREAK_OWN_TERM
#define OWN_TERM_ONLY false
#else
#define OWN_TERM_ONLY true
#endif
#ifdef BREAK_REPLACE
#define KEEPS_IDENTITY true
#else
#define KEEPS_IDENTITY false
#endif

#define AT(i, k) log_term[(i) * (MAX_LOG + 1) + (k)]

byte term[N];
byte log_len[N];
byte log_term[N * (MAX_LOG + 1)];
bool leads[N];
byte last_won;   /* highest term in which an election was won */
byte winner;     /* the winner of last_won: replica number + 1 */
byte committed;  /* number of committed entries */
byte committed_term[MAX_LOG + 1];
bool voter[N] = true;
bool lost;       /* a replica has lost its data */
bool removed;    /* its old identity is no longer a member */

inline last_term (i, result)
{
  if
  :: log_len[i] == 0 -> result = 0
  :: else -> result = AT (i, log_len[i])
  fi
}

/* Sets result to whether replica v would vote for c in c's next term. */
inline would_vote (v, c, result)
{
  d_step {
    last_term (c, lc);
    last_term (v, lv);
    result = (voter[v] && term[v] < term[c] + 1 && UP_TO_DATE)
  }
}

/* Replica c wins the next term with the votes of itself and replica v. */
inline elect (c, v)
{
  atomic {
    would_vote (v, c, ok);
    if
    :: ok && voter[c] && term[c] < MAX_TERM ->
       term[c] = term[c] + 1;
       leads[c] = true;
       if
       :: KEEPS_VOTE -> term[v] = term[c]; leads[v] = false
       :: else -> skip
       fi;
       /* There is at most one leader per term. */
       assert (!(last_won == term[c] && winner != c + 1));
       if
       :: term[c] > last_won -> last_won = term[c]; winner = c + 1
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

/* Leader c appends an entry of its term. */
inline append (c)
{
  atomic {
    if
    :: leads[c] && log_len[c] < MAX_LOG ->
       log_len[c] = log_len[c] + 1;
       AT (c, log_len[c]) = term[c]
    :: else -> skip
    fi
  }
}

/* Checks that a committed entry is never replaced: the leader of the latest
 * term has every committed entry. */
inline check_committed (c)
{
  i = 1;
  do
  :: i <= committed ->
     assert (term[c] < last_won ||
             (log_len[c] >= i && AT (c, i) == committed_term[i]));
     i++
  :: else -> break
  od
}

/* Leader c makes v's log match the first k entries of its own log. It then
 * counts them as stored by a majority, which c and v form. */
inline replicate (c, v)
{
  atomic {
    if
    :: leads[c] && term[v] <= term[c] && log_len[c] > 0 ->
       if
       :: term[v] < term[c] -> term[v] = term[c]
       :: else -> skip
       fi;
       leads[v] = false;
       /* Any non-empty prefix of the leader's log may have arrived. */
       select (k : 1 .. log_len[c]);
       i = 1;
       clash = false;
       do
       :: i <= k ->
          if
          :: i > log_len[v] || AT (v, i) != AT (c, i) -> clash = true
          :: else -> skip
          fi;
          AT (v, i) = AT (c, i);
          i++
       :: else -> break
       od;
       if
       :: clash || log_len[v] < k -> log_len[v] = k
       :: else -> skip
       fi;
       if
       :: (voter[c] && voter[v] && k > committed &&
           (!OWN_TERM_ONLY || AT (c, k) == term[c])) ->
          i = committed + 1;
          do
          :: i <= k -> committed_term[i] = AT (c, i); i++
          :: else -> break
          od;
          committed = k
       :: else -> skip
       fi;
       check_committed (c)
    :: else -> skip
    fi
  }
}

/* A crash of replica c loses the state that is not durable: that it was the
 * leader. */
inline crash (c)
{
  atomic { leads[c] = false }
}

/* Replica v loses its data. It returns with a new identity that has no vote;
 * with BREAK_REPLACE it returns under its old identity without its vote and
 * log. In both cases two of the remaining voters are a majority. */
inline lose (v)
{
  atomic {
    if
    :: !lost ->
       lost = true;
       leads[v] = false;
       log_len[v] = 0;
       term[v] = 0;
       voter[v] = KEEPS_IDENTITY
    :: else -> skip
    fi
  }
}

/* Leader c commits the removal of v's old identity. This needs the third
 * replica, which must not be in a later term and must have all entries of c. */
inline remove (c, v)
{
  atomic {
    i = N - c - v;
    if
    :: (leads[c] && lost && !removed && !voter[v] && term[i] <= term[c] &&
        committed > 0 && committed == log_len[c] &&
        committed_term[committed] == term[c] && log_len[i] == log_len[c] &&
        AT (i, log_len[i]) == AT (c, log_len[c])) ->
       term[i] = term[c];
       leads[i] = false;
       removed = true
    :: else -> skip
    fi
  }
}

/* Leader c makes the learner v a voter once v has all entries of c. The two are
 * a majority of the new group. */
inline promote (c, v)
{
  atomic {
    if
    :: (leads[c] && removed && !voter[v] && committed == log_len[c] &&
        committed_term[committed] == term[c] && term[v] <= term[c] &&
        log_len[v] == log_len[c] &&
        AT (v, log_len[v]) == AT (c, log_len[c])) ->
       term[v] = term[c];
       voter[v] = true
    :: else -> skip
    fi
  }
}

active proctype group ()
{
  byte a, b, i, k, lc, lv;
  bool ok, clash;

end:
  do
  :: select (a : 0 .. N - 1);
     select (b : 0 .. N - 1);
     if
     :: a == b -> crash (a)
     :: a != b ->
        if
        :: true -> elect (a, b)
        :: true -> append (a)
        :: true -> replicate (a, b)
        :: true -> lose (b)
        :: true -> remove (a, b)
        :: true -> promote (a, b)
        fi
     fi;
     a = 0; b = 0; i = 0; k = 0; lc = 0; lv = 0;
     ok = false; clash = false
  od
}
