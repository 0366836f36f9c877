/**
 * @file lib-control.h
 * Runs a control group of real processes for tests, provides clients of the
 * group in the test process, and checks the revisions that the clients see.
 */
#ifndef LIB_CONTROL_H
#define LIB_CONTROL_H

#include "control-client.h"
#include "lib-cluster.h"

#define GROUP_MAX 6

/** Holds the parts of an answer that tests check. */
typedef struct
{
  bool done;
  Lwm__ControlResult result;
  bool maybe_done;
  uint64_t number;  /**< number of the current revision */
  char digest[64];  /**< digest of the current revision */
  char who[64];     /**< author of the current revision */
  uint64_t fencing; /**< fencing number of the current lease */
  uint32_t retry_after_ms;
  Lwm__ControlClaimState claim_state;
  char outcome[64]; /**< outcome of the current claim */
} reply_t;

typedef struct
{
  cluster_t *cluster;
  struct event_base *base; /**< event loop of the clients */
  size_t count;
  bool proxied;
  const char *proxy; /**< address of the fault proxy's control API */
  const char *http[GROUP_MAX];
  const char *control[GROUP_MAX];
  const char *link[GROUP_MAX][GROUP_MAX]; /**< address by [from][to] */
  const char *folder[GROUP_MAX];
  process_t *process[GROUP_MAX];
  uint32_t snapshot_entries;
  uint32_t heartbeat_ms;
  uint32_t election_timeout_ms;
} group_t;

/** Records the accepted revisions, for all clients of a test. */
typedef struct
{
  GHashTable *winners; /**< number -> digest */
  uint64_t accepted;   /**< highest revision number accepted */
} history_t;

/** Checks the revisions that one client sees against the history. */
typedef struct
{
  history_t *history;
  uint64_t number; /**< number of the last revision seen */
  uint64_t count;  /**< number of revisions seen */
} observer_t;

/**
 * Allocates a group with addresses for @a count replicas, and with a fault
 * proxy on each link if @a proxied. Starts no replica; free with group_free().
 */
group_t *group_new (cluster_t *cluster, size_t count, bool proxied);
void group_free (group_t *group);

/** Starts a replica; @a fault is the value of LWM_FAULT, or NULL. */
void group_start (group_t *group, size_t replica, const char *fault);
void group_start_all (group_t *group);

/** Starts one more replica, which waits to be added; returns its index. */
size_t group_join (group_t *group);

/** Kills a replica; with @a lose_folder also removes its stored files. */
void group_kill (group_t *group, size_t replica, bool lose_folder);

/** Waits for a leader among the running replicas; returns its index. */
size_t group_leader (group_t *group);

/** Returns a number from the status of a replica, or -1. */
int64_t group_status (group_t *group, size_t replica, const char *member);

/** Prints the status and the last log lines of every running replica. */
void group_print_state (group_t *group);

/** Waits until all running replicas have applied the same last entry. */
void group_wait_settled (group_t *group);

/** Cuts or restores the link from one replica to another. */
void group_set_cut (group_t *group, size_t from, size_t to, bool cut);

/**
 * Delays a link by @a delay_ms in each direction, and stalls @a stall_percent
 * of its data pieces by @a stall_ms.
 */
void group_set_delay (group_t *group,
                      size_t from,
                      size_t to,
                      uint32_t delay_ms,
                      uint32_t stall_percent,
                      uint32_t stall_ms);

/** Creates a client of all replicas; @a observer may be NULL. */
control_client_t *group_client (group_t *group, observer_t *observer);

/** Runs the clients' event loop until @a reply is done. */
void group_wait_reply (group_t *group, const reply_t *reply);

/** Runs the clients' event loop for @a ms milliseconds. */
void group_run_loop_ms (group_t *group, uint32_t ms);

/** Copies an answer into the reply_t that is its context (a callback). */
void reply_store_answer (const Lwm__ControlAnswer *answer, void *context);

/**
 * Proposes a configuration without waiting; @a reply is filled when the answer
 * arrives.
 */
void group_propose (control_client_t *client,
                    uint64_t number,
                    const char *digest,
                    const char *who,
                    uint32_t timeout_ms,
                    reply_t *reply);

/** Proposes a configuration and waits for the answer. */
reply_t group_apply (group_t *group,
                     control_client_t *client,
                     uint64_t number,
                     const char *digest);

/** Reads the current revision through the leader. */
reply_t group_get (group_t *group, control_client_t *client);

reply_t group_claim (group_t *group,
                     control_client_t *client,
                     const char *key,
                     const char *owner,
                     uint64_t attempt);
reply_t group_finish (group_t *group,
                      control_client_t *client,
                      const char *key,
                      const char *owner,
                      uint64_t attempt,
                      const char *outcome);
reply_t group_lease (group_t *group,
                     control_client_t *client,
                     const char *upstream,
                     const char *holder);

/**
 * Adds, promotes or removes a member; retries while the answer is "not ready"
 * or "not found", and asserts that the change succeeds.
 */
void group_change_member (group_t *group,
                          control_client_t *client,
                          Lwm__ControlMemberChangeKind kind,
                          const char *name);

history_t *history_new (void);
void history_free (history_t *history);

/**
 * Records the answer to a client that revision @a number was accepted with
 * @a digest; asserts that no other digest was accepted under that number.
 */
void history_record_accepted (history_t *history,
                              uint64_t number,
                              const char *digest);

/** Waits until an observer has seen the highest accepted revision. */
void group_wait_observer (group_t *group, const observer_t *observer);

#endif
