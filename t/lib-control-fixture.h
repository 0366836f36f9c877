/**
 * @file lib-control-fixture.h
 * A control group of real processes with one client, the revisions that it was
 * told of, and their history, as most tests of the group need them.
 */
#ifndef LIB_CONTROL_FIXTURE_H
#define LIB_CONTROL_FIXTURE_H

#include "lib-control.h"

typedef struct
{
  cluster_t *cluster;
  group_t *group;
  control_client_t *client;
  history_t *history;
  observer_t observer; /**< of the client */
  uint64_t number;     /**< of the last revision of
                            control_fixture_apply_next() */
} control_fixture_t;

typedef struct
{
  size_t replicas;
  bool is_proxied; /**< a fault proxy on each link */
  /** Replicas may kill themselves, as fault points do. */
  bool allow_self_kills;
  uint32_t snapshot_entries; /**< 0 for the default */
} control_fixture_options_t;

/** Sets up a group without a running replica, and without a client. */
void control_fixture_init (control_fixture_t *fixture,
                           const control_fixture_options_t *options);

/** Creates the client. */
void control_fixture_connect (control_fixture_t *fixture);

/** Sets up a group, starts all replicas and creates the client. */
void control_fixture_start (control_fixture_t *fixture,
                            const control_fixture_options_t *options);
void control_fixture_clear (control_fixture_t *fixture);

/** Proposes a revision, asserts that it is accepted, and records it. */
void control_fixture_apply (control_fixture_t *fixture, uint64_t number);

/** Does so with the next number. */
void control_fixture_apply_next (control_fixture_t *fixture);

/** Asserts that the group's revision is the last one that was accepted. */
void control_fixture_check_last (control_fixture_t *fixture);

#endif
