/**
 * @file lib-nodes.h
 * Runs the programs of a platform as real processes for tests: a control group
 * of three, which forms itself, one entry instance or more, in one availability
 * zone or several, and more control instances on demand. Each has its own
 * loopback address, as all use the same ports.
 */
#ifndef LIB_NODES_H
#define LIB_NODES_H

#include "lib-cluster.h"
#include "lib-entry.h"

/** Number of control instances that form the group. */
#define NODES_CONTROLS 3
/** Index of the first entry instance; the indexes after the last one are
 * further control instances. */
#define NODES_ENTRY NODES_CONTROLS
#define NODES_MAX   16

typedef struct
{
  cluster_t *cluster;
  char *ip[NODES_MAX];
  const char *zone[NODES_MAX];
  process_t *process[NODES_MAX]; /* NULL when it was not started */
  int seeds[NODES_CONTROLS];     /* indexes of the control instances in the
                                    settings */
  int entries; /* number of entry instances, from NODES_ENTRY on */
  int zones;
  int port;
  int more_controls; /* control instances of the group that are no seeds; they
                        follow the entry instances */
  int lost_machines; /* that the group has to survive */
  uint32_t stop_timeout_s;
  uint32_t memory_mb; /* of each process in the settings, 0 for unknown */
  uint32_t max_descriptors;
  bool has_all_kinds;
  bool has_customers;
} nodes_t;

/** Header fields of the platform's requests and answers. */
#define NODES_FIELD_ID        "Request-Id"
#define NODES_FIELD_DEADLINE  "Deadline-Ms"
#define NODES_FIELD_UPSTREAM  "Expect-Instance"
#define NODES_FIELD_SIGNATURE "Server-Stamp"
#define NODES_FIELD_NOT_RUN   "Not-Run"
#define NODES_FIELD_TOKENS    "Token-Count"
#define NODES_FIELD_KEY       "Key"
#define NODES_FIELD_CUSTOMER  "Tenant"
#define NODES_FIELD_LEAVING   "Server-Leaving"

/** Members of a configuration, and the paths of the calls that put one in
 * force, read it and order drains. */
#define NODES_MEMBER_PREFIX    "path-prefix"
#define NODES_MEMBER_MEMORY    "kv-capacity"
#define NODES_PATH_CONFIG      "/config/put"
#define NODES_PATH_READ_CONFIG "/config/get"
#define NODES_PATH_DRAIN       "/evacuate/"

typedef struct
{
  int version;             /**< number of the first configuration */
  int entries;             /**< entry instances, 0 for one */
  int zones;               /**< zones that machines take in turn, 0 for one */
  int more_controls;       /**< control instances beside the seeds */
  int lost_machines;       /**< that the group has to survive, 0 for one */
  uint32_t stop_timeout_s; /**< 0 for the default */
  uint32_t memory_mb;      /**< of each process, 0 for unknown */
  uint32_t max_descriptors;
  /** Whether the configurations have a route for each kind of request: /safe/,
   * /unsafe/ and /stream/ of the service "s", and the streams /paused/ of the
   * service "p". */
  bool has_all_kinds;
  /** Whether the configurations with all kinds have two customers, "c-a" with
   * the API key "key-a" and "c-b" with "key-b". */
  bool has_customers;
} nodes_options_t;

/** Starts the group and the entry instances, and puts the first configuration
 * in force. */
nodes_t *nodes_new_with (const nodes_options_t *options);

/** Does the same with default options and the number @a version. */
nodes_t *nodes_new (int version);
void nodes_free (nodes_t *nodes);

/** Writes the settings file of an instance; the caller frees its path. */
char *nodes_write_settings (nodes_t *nodes, int index, bool found);

/** Starts an instance and waits until it is ready. */
process_t *nodes_start (nodes_t *nodes, int index, bool found);

/** Kills an instance; with @a lose_disk also removes its stored files. */
void nodes_kill (nodes_t *nodes, int index, bool lose_disk);

/** Returns whether an entry instance says that it is ready. */
bool nodes_is_ready (const nodes_t *nodes, int index);

/** Returns an address of an instance, freed with g_free(). Offsets of ports: 0
 * control, 2 status, 3 callers. */
char *nodes_address (const nodes_t *nodes, int index, int offset);

/** Makes a call to an instance; returns the status. */
int nodes_call (const nodes_t *nodes,
                int index,
                int offset,
                const char *method,
                const char *path,
                const char *body);

/** Sends a configuration to a control instance; returns the status. */
int nodes_put_config (const nodes_t *nodes, int index, int version);

/** Starts to send a configuration to a control instance; call_finish() waits
 * for the answer. */
call_t *nodes_start_put_config (const nodes_t *nodes, int index, int version);

/** What an upstream announces of itself. */
typedef struct
{
  const char *id;
  const char *service;
  const char *address;
  int slots;
  int sequence;
  int64_t born_ms; /**< wall clock at its start, 0 for a constant one */
  bool is_leaving;
} nodes_announcement_t;

/** Announces an upstream, in the zone of its machine, to a control instance;
 * returns the status. */
int nodes_announce (const nodes_t *nodes,
                    int index,
                    const nodes_announcement_t *announcement);

/** Returns the number of the configuration that an instance reads, 0 for
 * none. */
int64_t nodes_read_version (const nodes_t *nodes, int index);

/** Returns a metric of a control instance, -1 for none. */
double nodes_metric (const nodes_t *nodes, int index, const char *name);

#endif
