/**
 * @file lib-cluster.h
 * Runs real processes for tests. They listen on free ports of a loopback
 * address that belongs to one test program, and end with the cluster.
 */
#ifndef LIB_CLUSTER_H
#define LIB_CLUSTER_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** Longest wait for a condition; a test that reaches it fails. */
#define CLUSTER_WAIT_TIMEOUT_MS 30000

typedef struct cluster cluster_t;
typedef struct process process_t;

/** Holds the answer to a blocking call; free with cluster_answer_free(). */
typedef struct
{
  int status;       /**< HTTP status, or 0 if there was no answer */
  char *body;       /**< whole body as text, never NULL */
  JsonObject *json; /**< the body parsed, NULL if it is not a JSON object */
} answer_t;

cluster_t *cluster_new (void);

/**
 * Kills the processes that still run, asserts that none crashed or was reported
 * by a sanitizer, and removes the folder (unless LWM_KEEP is set).
 */
void cluster_free (cluster_t *cluster);

/** Accepts processes that kill themselves with SIGKILL, as fault points do. */
void cluster_allow_self_kills (cluster_t *cluster);

/** Returns the cluster's temporary folder, which is empty at first. */
const char *cluster_folder (cluster_t *cluster);

/**
 * Creates a folder below cluster_folder() and returns its path, which the
 * cluster owns.
 */
const char *cluster_subfolder (cluster_t *cluster, const char *name);

/** Removes the files in a folder. */
void cluster_empty_folder (const char *folder);

/** Writes a file below cluster_folder() and creates its parent folders. */
void cluster_write (cluster_t *cluster, const char *path, const char *text);

/** Number of machines that a test may simulate, each with one address. */
#define CLUSTER_IPS 16

/**
 * Returns the loopback address with an index below CLUSTER_IPS, which no other
 * test program uses; free with g_free().
 */
char *cluster_ip (uint32_t index);

/**
 * Returns an "IP:PORT" that is free now and is returned only once; the cluster
 * owns the string.
 */
const char *cluster_address (cluster_t *cluster);

/**
 * Starts a program of the build with a NULL-terminated list of arguments and
 * waits until it reports that it is ready. Returns NULL if it ended before
 * that.
 */
process_t *cluster_start (cluster_t *cluster, const char *program, ...)
    __attribute__ ((sentinel));
process_t *
cluster_startv (cluster_t *cluster, const char *program, char **arguments);

/**
 * Runs a program to its end and returns its exit code, or 128 + signal. Its
 * stdout and stderr go to @a output; free with g_free().
 */
int cluster_run (cluster_t *cluster, char **output, const char *program, ...)
    __attribute__ ((sentinel));

pid_t process_pid (const process_t *process);

/** Makes the processes that start from now on write stderr to the pipe of
 * stdout, where process_hold_output() holds it up. */
void cluster_merge_output (cluster_t *cluster);

/** Returns what a process wrote to stderr, and to stdout once it was ready, so
 * far; free with g_free(). */
char *process_log (process_t *process);

/** Prints the last lines of process_log(). */
void process_print_log (process_t *process);

/** Stops reading what a process writes, and lets its pipe hold little. */
void process_hold_output (process_t *process);

/** Reads it again, from where it was held up. */
void process_release_output (process_t *process);

/** Sends a signal to a process; after SIGKILL also waits for its end. */
void process_signal (process_t *process, int signal_number);

/** Waits until a process ends; returns its exit code, or 128 + signal. */
int process_wait (process_t *process);

/**
 * Waits until a process ends and asserts exit code 0. On any other code prints
 * the last lines that the process wrote to stderr.
 */
void process_expect_success (process_t *process);

/** Returns whether a process still runs. */
bool process_running (process_t *process);

/** Makes a blocking HTTP call; @a body may be NULL. */
answer_t cluster_call (const char *address,
                       const char *method,
                       const char *path,
                       const char *body);

/**
 * Does the same as cluster_call() with extra header lines
 * ("Name: value\r\n...", or NULL) and a time limit.
 */
answer_t cluster_call_with (const char *address,
                            const char *method,
                            const char *path,
                            const char *headers,
                            const char *body,
                            uint32_t timeout_ms);

void cluster_answer_free (answer_t *answer);

/**
 * Returns the value of a sample ("name" or "name{labels}") on /metrics, or -1
 * if it is absent.
 */
double cluster_metric (const char *address, const char *sample);

/**
 * Returns the sum of all samples on /metrics that start with @a prefix, or -1
 * if there are none.
 */
double cluster_metric_sum (const char *address, const char *prefix);

void cluster_sleep_ms (uint32_t ms);

/**
 * Waits until @a condition holds; fails the test after CLUSTER_WAIT_TIMEOUT_MS.
 */
#define CLUSTER_WAIT(condition)                                                \
  do                                                                           \
    {                                                                          \
      int64_t end_us                                                           \
          = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * 1000;          \
      while (!(condition) && g_get_monotonic_time () < end_us)                 \
        cluster_sleep_ms (20);                                                 \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

#endif
