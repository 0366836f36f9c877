#include "lib-http-crowd-cases.h"

#include <glib.h>
#include <string.h>

#define CHUNK_BYTES        65536u
#define KB_PER_MB          1024
#define HEAD_BYTES         15000u
#define CROWD_CONNECTIONS  450
#define REFUSED_CLIENTS    30
#define SLOW_BYTES_S       4096
#define TOO_LARGE          400000000u
#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE   413
#define MIX_DIVISOR        3
#define REFUSED_BODY_BYTES (32u * 1024 * 1024)

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

typedef struct
{
  http_crowd_t *crowds[8];
  size_t crowd_count;
} run_t;

static const http_crowd_program_t *current;

/** Starts a crowd whose head is a request line and @a fields. */
static void
start (run_t *run,
       const http_crowd_target_t *target,
       const char *method,
       const char *fields,
       http_crowd_options_t options)
{
  char *head = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: x\r\n%s", method,
      strcmp (method, "GET") == 0 ? target->get : target->post, fields);

  options.address = target->address;
  options.head = head;
  run->crowds[run->crowd_count++] = http_crowd_start (&options);
  g_free (head);
}

static char *
make_chunk (uint32_t bytes)
{
  char *content = g_strnfill (bytes, ' ');
  char *chunk = g_strdup_printf ("%x\r\n%s\r\n", bytes, content);

  g_free (content);
  return chunk;
}

/** Starts clients that send chunks of @a chunk_bytes and then stall. */
static void
start_chunks (run_t *run,
              const http_crowd_target_t *target,
              uint32_t clients,
              uint32_t chunk_bytes,
              uint64_t content_bytes)
{
  char *chunk = make_chunk (chunk_bytes);
  uint32_t unit_bytes = (uint32_t)strlen (chunk);

  /* The block of the crowd refers to no part of the chunk once it is made. */
  start (run, target, "POST", CHUNKED,
         (http_crowd_options_t){ .connections = clients,
                                 .unit = chunk,
                                 .unit_bytes = unit_bytes,
                                 .repeated_bytes
                                 = content_bytes / chunk_bytes * unit_bytes });
  g_free (chunk);
}

static void
start_body (run_t *run,
            const http_crowd_target_t *target,
            uint32_t clients,
            uint64_t declared_bytes,
            uint64_t sent_bytes)
{
  char *field = g_strdup_printf ("Content-Length: %ju\r\n\r\n",
                                 (uintmax_t)declared_bytes);

  start (run, target, "POST", field,
         (http_crowd_options_t){ .connections = clients,
                                 .unit = " ",
                                 .unit_bytes = 1,
                                 .repeated_bytes = sent_bytes });
  g_free (field);
}

static void
start_large_chunks (run_t *run, const http_crowd_target_t *target)
{
  start_chunks (run, target, target->body_clients, CHUNK_BYTES,
                target->body_bytes);
}

static void
start_small_chunks (run_t *run, const http_crowd_target_t *target)
{
  start_chunks (run, target, target->body_clients, 8, target->body_bytes);
}

static void
start_endless_chunk_size (run_t *run, const http_crowd_target_t *target)
{
  start (run, target, "POST", CHUNKED,
         (http_crowd_options_t){ .connections = target->body_clients,
                                 .unit = "0",
                                 .unit_bytes = 1,
                                 .repeated_bytes = 2 * target->body_bytes });
}

static void
start_stalled_body (run_t *run, const http_crowd_target_t *target)
{
  start_body (run, target, target->body_clients, target->body_bytes + 1,
              target->body_bytes);
}

static void
start_declared_too_large (run_t *run, const http_crowd_target_t *target)
{
  start_body (run, target, target->body_clients, TOO_LARGE,
              2 * target->body_bytes);
}

static void
start_past_limit (run_t *run, const http_crowd_target_t *target)
{
  start_chunks (run, target, REFUSED_CLIENTS, CHUNK_BYTES, REFUSED_BODY_BYTES);
}

static void
start_endless_heads (run_t *run, const http_crowd_target_t *target)
{
  start (run, target, "GET", "",
         (http_crowd_options_t){ .connections = CROWD_CONNECTIONS,
                                 .unit = "a:\r\n",
                                 .unit_bytes = 4,
                                 .repeated_bytes = HEAD_BYTES });
}

static void
start_slow_readers (run_t *run, const http_crowd_target_t *target)
{
  start (run, target, "GET", "\r\n",
         (http_crowd_options_t){ .connections = target->slow_clients,
                                 .read_bytes_s = SLOW_BYTES_S });
}

static void
start_connections (run_t *run, const http_crowd_target_t *target)
{
  start (run, target, "GET", "Accept: ",
         (http_crowd_options_t){ .connections = CROWD_CONNECTIONS });
}

static void
start_mix (run_t *run, const http_crowd_target_t *target)
{
  http_crowd_target_t part = *target;

  part.body_clients = target->body_clients / MIX_DIVISOR + 1;
  part.slow_clients = target->slow_clients / MIX_DIVISOR + 1;
  start_large_chunks (run, &part);
  start_stalled_body (run, &part);
  start_declared_too_large (run, &part);
  start_endless_heads (run, &part);
  start_slow_readers (run, &part);
}

static void
end_crowds (run_t *run)
{
  for (size_t i = 0; i < run->crowd_count; i++)
    http_crowd_free (run->crowds[i]);
  run->crowd_count = 0;
}

void
http_crowd_check_bounds (const http_crowd_target_t *target)
{
  uint64_t peak_kb = http_crowd_peak_kb (target->process);
  uint32_t descriptors = http_crowd_most_descriptors ();

  g_test_message ("peak_kb=%ju descriptors=%u", (uintmax_t)peak_kb,
                  descriptors);
#ifndef __SANITIZE_ADDRESS__
  /* A sanitizer keeps freed blocks. */
  g_assert_cmpuint (peak_kb, <, CROWD_MEMORY_MB * KB_PER_MB);
#endif
  g_assert_cmpuint (descriptors, <, CROWD_MAX_DESCRIPTORS);
}

typedef void (*start_cb_t) (run_t *run, const http_crowd_target_t *target);

static void
run_case (gconstpointer data)
{
  start_cb_t start_crowds = (start_cb_t)data;
  run_t run = { 0 };
  http_crowd_target_t *target = current->set_up ();

  http_crowd_watch (target->process);
  start_crowds (&run, target);
  for (size_t i = 0; i < run.crowd_count; i++)
    http_crowd_wait (run.crowds[i]);
  CLUSTER_WAIT (target->call (target->context));
  http_crowd_check_bounds (target);
  end_crowds (&run);
  current->tear_down (target);
}

/* Guards against a process that does not end, or fails, because clients hold
 * their connections open. */
static void
run_stop_case (void)
{
  run_t run = { 0 };
  http_crowd_target_t *target = current->set_up ();

  http_crowd_watch (target->process);
  start_mix (&run, target);
  for (size_t i = 0; i < run.crowd_count; i++)
    http_crowd_wait (run.crowds[i]);
  http_crowd_check_bounds (target);
  current->stop (target);
  end_crowds (&run);
  current->tear_down (target);
}

/** Checks that a client that sends a too large body reads the refusal. */
static void
check_refusal (const char *fields, const char *unit)
{
  http_crowd_target_t *target = current->set_up ();
  char *head = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: x\r\n%s\r\n",
                                target->post, fields);
  http_crowd_options_t options = { .address = target->address,
                                   .head = head,
                                   .unit = unit,
                                   .unit_bytes = (uint32_t)strlen (unit),
                                   .repeated_bytes = REFUSED_BODY_BYTES };

  g_assert_cmpint (http_crowd_send_one (&options), ==, STATUS_TOO_LARGE);
  CLUSTER_WAIT (target->call (target->context));
  g_free (head);
  current->tear_down (target);
}

static void
run_declared_refusal (void)
{
  check_refusal ("Content-Length: 400000000\r\n", " ");
}

static void
run_chunked_refusal (void)
{
  char *chunk = make_chunk (CHUNK_BYTES);

  check_refusal ("Transfer-Encoding: chunked\r\n", chunk);
  g_free (chunk);
}

/** Guards against a single body whose many short values take far more memory
 * than its text. */
static void
run_many_values (void)
{
  http_crowd_target_t *target = current->set_up ();
  char *head = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %ju\r\n\r\n{\"a\":[",
      target->post_json, (uintmax_t)target->body_bytes + strlen ("{\"a\":["));
  http_crowd_options_t options = { .address = target->address,
                                   .head = head,
                                   .unit = "{},",
                                   .unit_bytes = strlen ("{},"),
                                   .repeated_bytes = target->body_bytes };

  http_crowd_watch (target->process);
  g_assert_cmpint (http_crowd_send_one (&options), >=, STATUS_BAD_REQUEST);
  CLUSTER_WAIT (target->call (target->context));
  http_crowd_check_bounds (target);
  g_free (head);
  current->tear_down (target);
}

static void
add (const char *prefix, const char *name, GTestDataFunc function, void *data)
{
  char *path = g_strdup_printf ("/%s/%s", prefix, name);

  g_test_add_data_func (path, data, function);
  g_free (path);
}

void
http_crowd_cases_add (const http_crowd_program_t *program)
{
  static const struct
  {
    const char *name;
    start_cb_t start;
  } cases[] = { { "large-chunks", start_large_chunks },
                { "small-chunks", start_small_chunks },
                { "endless-chunk-size", start_endless_chunk_size },
                { "stalled-body", start_stalled_body },
                { "declared-too-large", start_declared_too_large },
                { "past-limit", start_past_limit },
                { "endless-heads", start_endless_heads },
                { "slow-readers", start_slow_readers },
                { "connections", start_connections },
                { "mix", start_mix } };
  char *path;

  current = program;
  http_crowd_raise_limit ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    add (program->prefix, cases[i].name, run_case, (void *)cases[i].start);
  add (program->prefix, "refusal-declared", (GTestDataFunc)run_declared_refusal,
       NULL);
  add (program->prefix, "refusal-chunked", (GTestDataFunc)run_chunked_refusal,
       NULL);
  add (program->prefix, "many-values", (GTestDataFunc)run_many_values, NULL);
  path = g_strdup_printf ("/%s/stop", program->prefix);
  if (program->stop != NULL)
    g_test_add_func (path, run_stop_case);
  g_free (path);
}
