/**
 * @file lib-cluster.h
 * Real processes for tests: started on free ports of a loopback address of the
 * test's own, and ended with it.
 */
#ifndef LIB_CLUSTER_H
#define LIB_CLUSTER_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** Longest wait for a condition; a test that needs it has failed. */
#define CLUSTER_PATIENCE_MS 30000

typedef struct cluster cluster_t;
typedef struct process process_t;

/** Answer of a blocking call; free with cluster_answer_free(). */
typedef struct
{
  int status;       /**< 0: no answer */
  char *body;       /**< whole body as text, never NULL */
  JsonObject *json; /**< the body parsed, NULL if it is not a JSON object */
} answer_t;

cluster_t *cluster_new (void);

/** Kills what still runs, checks that nothing crashed, removes the folder. */
void cluster_free (cluster_t *cluster);

/** Lets processes end by a SIGKILL of their own, as fault points do. */
void cluster_allow_kills (cluster_t *cluster);

/** The test's own folder, empty at the start. */
const char *cluster_folder (cluster_t *cluster);

/** Makes a folder below cluster_folder() and returns its path. */
const char *cluster_subfolder (cluster_t *cluster, const char *name);

/** Writes a file below cluster_folder(), making its folder. */
void cluster_write (cluster_t *cluster, const char *path, const char *text);

/** Machines that a test may stand for, each with an address. */
#define CLUSTER_IPS 4

/** An address that no other test program uses, of CLUSTER_IPS; g_free(). */
char *cluster_ip (uint32_t index);

/** "IP:PORT", free now and given out once. */
const char *cluster_address (cluster_t *cluster);

/**
 * Starts a program of the build with NULL-ended arguments and waits until it
 * says it is ready; NULL when it ended before that.
 */
process_t *cluster_start (cluster_t *cluster, const char *program, ...)
    __attribute__ ((sentinel));
process_t *
cluster_startv (cluster_t *cluster, const char *program, char **arguments);

/** Runs a program to its end; stdout and stderr go to @a output (g_free). */
int cluster_run (cluster_t *cluster, char **output, const char *program, ...)
    __attribute__ ((sentinel));

pid_t process_pid (const process_t *process);

/** What it wrote to stderr so far; g_free(). */
char *process_log (const process_t *process);

/** Prints the last lines that it wrote to stderr. */
void process_print_log (const process_t *process);

/** Sends a signal; SIGKILL also waits for the end. */
void process_signal (process_t *process, int signal_number);

/** Waits for its end; the exit code, or 128 + signal. */
int process_wait (process_t *process);

/**
 * Waits for its end and expects exit code 0; else fails the test and prints
 * the last lines it wrote to stderr.
 */
void process_expect_success (process_t *process);

/** Whether it still runs. */
bool process_running (process_t *process);

/** Blocking HTTP call; @a body NULL for none. */
answer_t cluster_call (const char *address,
                       const char *method,
                       const char *path,
                       const char *body);

/** The same with extra header lines ("Name: value\r\n...") and a time limit. */
answer_t cluster_call_with (const char *address,
                            const char *method,
                            const char *path,
                            const char *headers,
                            const char *body,
                            uint32_t timeout_ms);

void cluster_answer_free (answer_t *answer);

/** Value of a sample ("name" or "name{labels}") on /metrics; -1 if absent. */
double cluster_metric (const char *address, const char *sample);

/** Sum over all label sets of a metric whose sample starts with @a prefix. */
double cluster_metric_sum (const char *address, const char *prefix);

void cluster_sleep_ms (uint32_t ms);

/** Waits until @a condition holds, else fails the test. */
#define CLUSTER_WAIT(condition)                                                \
  do                                                                           \
    {                                                                          \
      int64_t end_us = g_get_monotonic_time () + CLUSTER_PATIENCE_MS * 1000;   \
      while (!(condition) && g_get_monotonic_time () < end_us)                 \
        cluster_sleep_ms (20);                                                 \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

#endif
