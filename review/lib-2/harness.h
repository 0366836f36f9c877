/**
 * @file harness.h
 * Starts the programs of the deploy file as separate processes on loopback
 * addresses, and the stand-ins of clients, servers and the platform. Used by
 * the cases 6 to 10. Plain sockets and threads, no library but the system's C
 * library.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_MACHINES    12
#define MAX_TEXT        65536
#define MAX_CONNECTIONS 1024 /* of a server */

/** Bounds of a small deployment, as in its settings. */
#define CONTACT_MS   3000
#define DRAIN_MS     2000
#define HEARTBEAT_MS 1200

typedef struct
{
  char name[32];
  char ip[32];
  char zone[16];
  bool is_control;
  pid_t pid; /* 0: not running */
  char folder[256];
} machine_t;

typedef struct
{
  int status; /* 0: no complete answer */
  char head[8192];
  char body[MAX_TEXT];
  size_t body_bytes;
  bool is_complete;
} answer_t;

extern machine_t machines[MAX_MACHINES];
extern int machine_count;
extern int base_port; /* control +0, peers +1 to +9, ready +10, front +11 */
extern bool has_trouble;

/** Opens record.txt, reads TROUBLE, makes the temporary folder and chooses
 * addresses and ports. */
void harness_begin (const char *case_folder);

/** Ends every process that was started, and the program. Exit codes: 1 the rule
 * was broken, 0 it held, 2 the case could not run. */
void harness_end (int code) __attribute__ ((noreturn));

/** Ends the case with exit code 2. */
void fail_case (const char *why) __attribute__ ((noreturn));

uint64_t now_ms (void);
void sleep_ms (uint64_t ms);

/** Writes a line with the time since the beginning to record.txt. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** Adds a machine; the first three controls are the seeds. */
machine_t *add_machine (const char *name, const char *zone, bool is_control);

/** Starts the process of a machine; @a first tells that the whole system starts
 * for the first time. */
void start_machine (machine_t *machine, bool first);
void signal_machine (machine_t *machine, int signal_number);
/** Kills the process and waits for its end. */
void kill_machine (machine_t *machine);
/** Returns whether the process has ended by itself; then @a pid is 0. */
bool has_ended (machine_t *machine);

/** Makes one HTTP call on a new connection. @a fields has lines that end in
 * CR LF. */
answer_t http_call (const char *ip,
                    int port,
                    const char *method,
                    const char *path,
                    const char *fields,
                    const char *body,
                    int timeout_ms);

/** Returns the value of a field of a head in @a value, or false. */
bool find_field (const char *head, const char *name, char *value, size_t size);

int control_port (void);
int ready_port (void);
int front_port (void);

/** Waits until the machine answers its readiness check with 200. */
bool wait_ready (const machine_t *machine, int timeout_ms);

/** Sends a configuration to the controls in turn until one acknowledges it. */
bool put_config (const char *text, int timeout_ms);

/** A stand-in of a server, which registers itself and runs requests. */
typedef struct server server_t;

/** A request that a server has read and that is meant for it. */
typedef struct
{
  server_t *server;
  int fd;
  int generation; /* of the server when the connection was opened */
  const char *id;
  const char *path;
  const char *head;
} request_t;

/** What a server does with a request: the status of its answer, or one of the
 * values below. */
#define WORK_ANSWERED 0  /* the answer was written */
#define WORK_RESET    -1 /* the connection is to be reset */
typedef int (*server_work_t) (const request_t *request);

struct server
{
  char id[32];
  char ip[32];
  int port;
  char service[32];
  char zone[16];
  uint64_t born_ms;
  int sequence;
  bool beats;     /* sends heartbeats */
  bool is_ending; /* says in its answers that it leaves */
  bool is_gone;   /* has exited */
  int work_ms;
  server_work_t work;               /* NULL: answers 200 */
  volatile int listener;            /* -1 while it is down */
  int connections[MAX_CONNECTIONS]; /* 0: none */
  volatile int generation;          /* a crash begins a new one */
  volatile bool is_down;            /* it has crashed and is not back yet */
};

/** Returns whether the server has crashed since the request came. */
bool has_crashed (const request_t *request);

/** Crashes the server: all its connections are reset. It is back under a new id
 * after @a down_ms. */
void server_crash (server_t *server, int down_ms);

/** Writes bytes to a connection. */
bool write_bytes (int fd, const char *data, size_t size);

/** Runs a function in a thread of its own. */
void start_thread (void *(*run) (void *), void *context);

/** Starts to listen and to send heartbeats to the controls in turn. */
void server_start (server_t *server);

/** Sends one call of the server's own; returns the status. */
int server_leave (server_t *server, const machine_t *control);
int server_beat (server_t *server, const machine_t *control, const char *state);

/** A request that reached a server. */
typedef struct
{
  char server[32];
  char id[64];
  uint64_t at_ms;
} arrival_t;

/** Returns the arrivals so far, which are not moved. */
const arrival_t *arrivals (int *count);

#endif
