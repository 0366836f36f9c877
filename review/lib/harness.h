/**
 * @file harness.h
 * Runs a small deployment of the platform programs on loopback addresses, with
 * stand-ins for servers, clients and the operator. Each case of the review is a
 * program that uses it.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define EXIT_HELD   0
#define EXIT_BROKEN 1
#define EXIT_NO_RUN 2

#define CONTROLS 3

/** Ports, the same on all machines. */
#define PORT_CONTROL 23100
#define PORT_PEERS   23101 /* first of the ports between instances */
#define PORT_READY   23110
#define PORT_FRONT   23111
#define PORT_SERVER  23120

typedef enum
{
  ROLE_CONTROL,
  ROLE_ENTRY,
} role_t;

/** A machine with one process of the system. */
typedef struct
{
  char name[32];
  char ip[32];
  char zone[16];
  role_t role;
  pid_t pid; /* 0: not running */
  char settings[512];
  char data[512];
} node_t;

/** An HTTP message that was received. */
typedef struct
{
  char *head; /* first line and fields, with a final NUL */
  size_t head_bytes;
  char *body;
  size_t body_bytes;
  int status;    /* of an answer, 0 if none came */
  bool is_whole; /* the whole message came */
} message_t;

struct server;

/** Answers one request on @a fd; returns false to close the connection. */
typedef bool (*server_answer_t) (struct server *server,
                                 int fd,
                                 const message_t *request);

/** A stand-in for a server of a service. */
typedef struct server
{
  char id[32];
  char ip[32];
  char zone[16];
  char service[16];
  int slots;
  uint64_t born_ms;
  server_answer_t answer;
  int listener;
  volatile int seq;
  volatile bool has_left;
  volatile int control; /* index of the control machine it calls first */
} server_t;

extern bool trouble; /* false with TROUBLE=0 */

/** Sets up the record, a temporary folder and addresses. @a folder is the
 * folder of the case. */
void harness_begin (const char *folder);

/** Ends all processes, removes the temporary folder, exits with @a code. */
void harness_end (int code) __attribute__ ((noreturn));

/** Ends with EXIT_NO_RUN and a reason. */
void harness_fail (const char *format, ...)
    __attribute__ ((noreturn, format (printf, 1, 2)));

/** Writes a line with the time to record.txt and to standard output. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

uint64_t mono_ms (void);
uint64_t wall_ms (void);
void sleep_ms (uint64_t ms);

/** The control machines. */
extern node_t controls[CONTROLS];

/** The machines whose addresses settings files name as seeds. */
extern const node_t *seeds[CONTROLS];

/** Fills in @a node; @a number is the last part of its address. */
void node_init (node_t *node, role_t role, int number, const char *zone);

/** Writes the settings file of a machine as platform/settings.yaml gives it. */
void node_write_settings (const node_t *node, bool bootstrap);

/** Starts the process of a machine with the command of the deploy file. */
void node_start (node_t *node, bool bootstrap);

void node_signal (node_t *node, int signal);

/** Waits until the process has ended. Returns the wait status, or -1 when it
 * still runs after @a timeout_ms. */
int node_wait (node_t *node, uint64_t timeout_ms);

/** Fills in the control machines, one a zone. */
void init_controls (void);

/** The same, and starts them for the first time. */
void start_controls (void);

/** Sends @a config until it is acknowledged, as the operator does. */
void put_first_config (const char *config);

/** Waits until an entry machine says that it is ready. */
void wait_ready (const node_t *node);

/** Connects to an address; -1 when that fails. A receive buffer of 0 is the
 * system's own size. */
int connect_to (const char *ip, int port, int receive_buffer, int timeout_ms);

bool send_all (int fd, const void *data, size_t size);

/** Receives one message. Returns false when the connection ended or nothing
 * came in time before it was whole. */
bool receive_message (int fd, bool is_answer, int timeout_ms, message_t *message);
void message_free (message_t *message);

/** Returns the value of a field of the head, or NULL; freed by the caller. */
char *message_field (const message_t *message, const char *name);

/** One call on a new connection. Returns the status, 0 for no answer. The
 * answer is stored if @a answer is not NULL. */
int call (const char *ip,
          int port,
          const char *method,
          const char *path,
          const char *body,
          size_t body_bytes,
          int timeout_ms,
          message_t *answer);

/** Starts a server and its heartbeats. @a number as for node_init(). */
void server_start (server_t *server,
                   int number,
                   const char *zone,
                   const char *service,
                   int slots,
                   server_answer_t answer);

/** Sends one statement of a server to a control machine. Returns the status. */
int server_beat (server_t *server, int control, const char *state);
int server_leave (server_t *server, int control);

/** Sends a whole answer with the signature. */
bool server_reply (int fd,
                   const message_t *request,
                   int status,
                   const char *more_fields,
                   const char *body,
                   size_t body_bytes);

#endif
