/**
 * @file lib-http-crowd-cases.h
 * The same crowds of clients against the listener of any program. Each case
 * checks that the process lives, that its memory and its descriptors stay
 * within its settings, and that it answers one ordinary call beside the crowd.
 */
#ifndef LIB_HTTP_CROWD_CASES_H
#define LIB_HTTP_CROWD_CASES_H

#include "lib-http-crowd.h"

/** Settings of a process under test, and the bounds of the checks. */
#define CROWD_MEMORY_MB       96
#define CROWD_MAX_DESCRIPTORS 400

/** A listener under test. */
typedef struct
{
  const process_t *process;
  char *address;         /**< IP:PORT */
  const char *post;      /**< path that takes a body */
  const char *post_json; /**< path whose handler parses a JSON body */
  const char *get;       /**< path with the longest answer, which anyone gets */
  uint64_t body_bytes;   /**< what each client sends, within the limit */
  uint32_t body_clients; /**< so that all bodies exceed CROWD_MEMORY_MB */
  uint32_t slow_clients; /**< so that all answers of get exceed it */
  /** Makes an ordinary call; returns whether it was answered. */
  bool (*call) (void *context);
  void *context;
} http_crowd_target_t;

/** Registers the cases "/PREFIX/..." of a program. @a set_up and @a tear_down
 * are called around each; tear_down() expects the process to live. */
typedef struct
{
  const char *prefix;
  http_crowd_target_t *(*set_up) (void);
  void (*tear_down) (http_crowd_target_t *target);
  /** Stops the process with SIGTERM and expects exit code 0; NULL: no case
   * for it. */
  void (*stop) (http_crowd_target_t *target);
} http_crowd_program_t;

/** Asserts the bounds of the process since http_crowd_watch(). */
void http_crowd_check_bounds (const http_crowd_target_t *target);

void http_crowd_cases_add (const http_crowd_program_t *program);

#endif
