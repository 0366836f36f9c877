#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200
#define MAX_NODES    64

bool trouble = true;
node_t controls[CONTROLS];
const node_t *seeds[CONTROLS] = { &controls[0], &controls[1], &controls[2] };

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t begun_ms;
static char folder[256];
static char net[24]; /* the first three parts of all addresses */
static node_t *nodes[MAX_NODES];
static int node_count;

uint64_t
mono_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t
wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
sleep_ms (uint64_t ms)
{
  struct timespec wait = { .tv_sec = (time_t)(ms / 1000),
                           .tv_nsec = (long)(ms % 1000) * 1000000 };

  while (nanosleep (&wait, &wait) != 0 && errno == EINTR)
    ;
}

static void
record_list (const char *format, va_list list)
{
  char text[2048];
  double at_s = (double)(mono_ms () - begun_ms) / 1000;

  vsnprintf (text, sizeof text, format, list);
  pthread_mutex_lock (&record_lock);
  printf ("%8.3f %s\n", at_s, text);
  fflush (stdout);
  if (record_file != NULL)
    {
      fprintf (record_file, "%8.3f %s\n", at_s, text);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
}

void
record (const char *format, ...)
{
  va_list list;

  va_start (list, format);
  record_list (format, list);
  va_end (list);
}

void
harness_fail (const char *format, ...)
{
  va_list list;

  va_start (list, format);
  record_list (format, list);
  va_end (list);
  harness_end (EXIT_NO_RUN);
}

/** Chooses a loopback network on which the ports are free. */
static void
choose_net (void)
{
  for (int i = 0; i < 50; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      char ip[40];
      bool is_free;

      snprintf (net, sizeof net, "127.%d.%d", 80 + (int)((getpid () >> 8) % 100),
                (getpid () + i) % 250 + 1);
      snprintf (ip, sizeof ip, "%s.1", net);
      inet_pton (AF_INET, ip, &address.sin_addr);
      address.sin_port = htons (PORT_CONTROL);
      is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return;
    }
  harness_fail ("no free loopback addresses");
}

void
harness_begin (const char *case_folder)
{
  char path[512];
  const char *option = getenv ("TROUBLE");
  const char *temporary = getenv ("TMPDIR");

  setvbuf (stdout, NULL, _IOLBF, 0);
  begun_ms = mono_ms ();
  trouble = option == NULL || strcmp (option, "0") != 0;
  signal (SIGPIPE, SIG_IGN);
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record_file = fopen (path, "we");
  snprintf (folder, sizeof folder, "%s/lwm-review-XXXXXX",
            temporary != NULL ? temporary : "/tmp");
  if (mkdtemp (folder) == NULL)
    harness_fail ("cannot create a temporary folder");
  choose_net ();
  record ("begin: trouble=%d", trouble);
}

void
harness_end (int code)
{
  char command[512];

  for (int i = 0; i < node_count; i++)
    if (nodes[i]->pid > 0)
      {
        kill (nodes[i]->pid, SIGCONT);
        kill (nodes[i]->pid, SIGKILL);
        waitpid (nodes[i]->pid, NULL, 0);
      }
  record ("end: %s", code == EXIT_HELD     ? "the rule held"
                     : code == EXIT_BROKEN ? "the rule was broken"
                                           : "the case could not run");
  if (folder[0] != '\0' && getenv ("KEEP") == NULL)
    {
      snprintf (command, sizeof command, "rm -rf '%s'", folder);
      if (system (command) != 0)
        code = code == EXIT_HELD ? EXIT_NO_RUN : code;
    }
  exit (code);
}

void
node_init (node_t *node, role_t role, int number, const char *zone)
{
  node->role = role;
  node->pid = 0;
  snprintf (node->name, sizeof node->name, "%s-%d",
            role == ROLE_CONTROL ? "core" : "edge", number);
  snprintf (node->ip, sizeof node->ip, "%s.%d", net, number);
  snprintf (node->zone, sizeof node->zone, "%s", zone);
  snprintf (node->settings, sizeof node->settings, "%s/%s.yaml", folder,
            node->name);
  snprintf (node->data, sizeof node->data, "%s/%s", folder, node->name);
  nodes[node_count++] = node;
}

void
node_write_settings (const node_t *node, bool bootstrap)
{
  FILE *file = fopen (node->settings, "we");
  bool is_control = node->role == ROLE_CONTROL;

  if (file == NULL)
    harness_fail ("cannot write settings");
  fprintf (file, "instance: \"%s\"\nzone: \"%s\"\naddress: \"%s\"\n",
           node->name, node->zone, node->ip);
  fprintf (file, "first_port: %d\nlast_port: %d\n", PORT_PEERS, PORT_PEERS + 8);
  if (is_control)
    fprintf (file, "callers: \"\"\nstatus: \"\"\ncontrol: \"%s:%d\"\n", node->ip,
             PORT_CONTROL);
  else
    fprintf (file, "callers: \"%s:%d\"\nstatus: \"%s:%d\"\ncontrol: \"\"\n",
             node->ip, PORT_FRONT, node->ip, PORT_READY);
  fprintf (file, "seeds: [ \"%s:%d\",\"%s:%d\",\"%s:%d\" ]\n", seeds[0]->ip,
           PORT_CONTROL, seeds[1]->ip, PORT_CONTROL, seeds[2]->ip,
           PORT_CONTROL);
  fprintf (file, "found: %s\ndata_folder: \"%s\"\n",
           bootstrap ? "true" : "false", is_control ? node->data : "");
  fprintf (file,
           "announce_ms: 1200\nstop_timeout_s: 8\nlost_machines: 1\n"
           "lost_zones: 1\nretry_share: 0.2\nspare_retries: 100\n"
           "keeps_state: %s\n",
           is_control ? "true" : "false");
  fclose (file);
}

void
node_start (node_t *node, bool bootstrap)
{
  const char *program = node->role == ROLE_CONTROL
                            ? "target/lwm-platform-control"
                            : "target/lwm-platform-entry";
  char variable[600];
  char log_path[600];

  if (access (program, X_OK) != 0)
    harness_fail ("%s is missing: run the build of the deploy file", program);
  mkdir (node->data, 0700);
  node_write_settings (node, bootstrap);
  snprintf (variable, sizeof variable, "LACEWINGMAST_NODE_FILE=%s",
            node->settings);
  snprintf (log_path, sizeof log_path, "%s/%s.log", folder, node->name);
  node->pid = fork ();
  if (node->pid == 0)
    {
      char *arguments[] = { (char *)program, NULL };
      char *environment[] = { variable, (char *)"PATH=/usr/bin:/bin", NULL };
      int log = open (log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      dup2 (log, 1);
      dup2 (log, 2);
      execve (program, arguments, environment);
      _exit (127);
    }
  record ("%s (%s, zone %s) started, pid %d", node->name, node->ip, node->zone,
          (int)node->pid);
}

void
node_signal (node_t *node, int signal_number)
{
  record ("%s gets signal %s", node->name, strsignal (signal_number));
  if (node->pid > 0)
    kill (node->pid, signal_number);
}

int
node_wait (node_t *node, uint64_t timeout_ms)
{
  uint64_t until_ms = mono_ms () + timeout_ms;
  int status = 0;

  while (node->pid > 0)
    {
      pid_t ended = waitpid (node->pid, &status, WNOHANG);

      if (ended == node->pid)
        {
          node->pid = 0;
          return status;
        }
      if (mono_ms () >= until_ms)
        return -1;
      sleep_ms (5);
    }
  return 0;
}

int
connect_to (const char *ip, int port, int receive_buffer, int timeout_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd poller = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t error_bytes = sizeof error;
  int on = 1;

  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      && (errno != EINPROGRESS || poll (&poller, 1, timeout_ms) != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &error_bytes) != 0
          || error != 0))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, 0);
  return fd;
}

bool
send_all (int fd, const void *data, size_t size)
{
  const char *at = data;

  while (size > 0)
    {
      ssize_t sent = send (fd, at, size, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      size -= (size_t)sent;
    }
  return true;
}

char *
message_field (const message_t *message, const char *name)
{
  size_t length = strlen (name);
  const char *line = message->head != NULL ? strstr (message->head, "\r\n")
                                           : NULL;

  for (; line != NULL && line[2] != '\0'; line = strstr (line + 2, "\r\n"))
    {
      const char *field = line + 2;
      const char *value = field + length + 1;

      if (strncasecmp (field, name, length) != 0 || field[length] != ':')
        continue;
      value += strspn (value, " ");
      return strndup (value, strcspn (value, "\r\n"));
    }
  return NULL;
}

void
message_free (message_t *message)
{
  free (message->head);
  free (message->body);
  memset (message, 0, sizeof *message);
}

#define UNTIL_CLOSE   -1
#define IN_CHUNKS     -2
#define LAST_CHUNK    "0\r\n\r\n"

/** Returns the length of the body, UNTIL_CLOSE or IN_CHUNKS. */
static ssize_t
body_length (const message_t *message, bool is_answer)
{
  char *text = message_field (message, "Content-Length");
  char *coding = message_field (message, "Transfer-Encoding");
  ssize_t length = text != NULL     ? atol (text)
                   : coding != NULL ? IN_CHUNKS
                   : is_answer      ? UNTIL_CLOSE
                                    : 0;

  free (text);
  free (coding);
  return length;
}

static bool
ends_with_last_chunk (const char *data, size_t size)
{
  size_t length = strlen (LAST_CHUNK);

  return size >= length
         && memcmp (data + size - length, LAST_CHUNK, length) == 0;
}

bool
receive_message (int fd, bool is_answer, int timeout_ms, message_t *message)
{
  uint64_t until_ms = mono_ms () + (uint64_t)timeout_ms;
  size_t used = 0;
  size_t room = 65536;
  char *data = malloc (room + 1);
  size_t head_end = 0;
  ssize_t length = 0;

  memset (message, 0, sizeof *message);
  for (;;)
    {
      struct pollfd poller = { .fd = fd, .events = POLLIN };
      uint64_t now_ms = mono_ms ();
      ssize_t got;

      if (head_end > 0 && length >= 0 && used >= head_end + (size_t)length)
        message->is_whole = true;
      if (head_end > 0 && length == IN_CHUNKS
          && ends_with_last_chunk (data, used))
        message->is_whole = true;
      if (message->is_whole || now_ms >= until_ms
          || poll (&poller, 1, (int)(until_ms - now_ms)) != 1)
        break;
      if (room - used < 32768)
        data = realloc (data, (room *= 2) + 1);
      got = recv (fd, data + used, room - used, 0);
      if (got <= 0)
        {
          message->is_whole = got == 0 && head_end > 0 && length == UNTIL_CLOSE;
          break;
        }
      used += (size_t)got;
      data[used] = '\0';
      if (head_end == 0)
        {
          char *end = memmem (data, used, "\r\n\r\n", 4);

          if (end == NULL)
            continue;
          head_end = (size_t)(end - data) + 4;
          message->head = strndup (data, head_end - 2);
          message->head_bytes = head_end;
          if (is_answer)
            sscanf (message->head, "HTTP/1.1 %d", &message->status);
          length = body_length (message, is_answer);
        }
    }
  if (head_end > 0)
    {
      message->body_bytes = used - head_end;
      message->body = malloc (message->body_bytes + 1);
      memcpy (message->body, data + head_end, message->body_bytes);
      message->body[message->body_bytes] = '\0';
    }
  free (data);
  return message->is_whole;
}

int
call (const char *ip,
      int port,
      const char *method,
      const char *path,
      const char *body,
      size_t body_bytes,
      int timeout_ms,
      message_t *answer)
{
  message_t ignored = { 0 };
  message_t *result = answer != NULL ? answer : &ignored;
  char head[1024];
  int fd = connect_to (ip, port, 0, timeout_ms);
  int status = 0;

  memset (result, 0, sizeof *result);
  if (fd < 0)
    return 0;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: "
            "application/json\r\nContent-Length: %zu\r\n\r\n",
            method, path, ip, port, body_bytes);
  if (send_all (fd, head, strlen (head)) && send_all (fd, body, body_bytes)
      && receive_message (fd, true, timeout_ms, result))
    status = result->status;
  close (fd);
  if (answer == NULL)
    message_free (&ignored);
  return status;
}

void
init_controls (void)
{
  static const char *const zones[] = { "ikeja", "abeokuta", "lekki" };

  for (int i = 0; i < CONTROLS; i++)
    node_init (&controls[i], ROLE_CONTROL, i + 1, zones[i]);
}

void
start_controls (void)
{
  init_controls ();
  for (int i = 0; i < CONTROLS; i++)
    node_start (&controls[i], true);
}

void
put_first_config (const char *config)
{
  uint64_t until_ms = mono_ms () + 20000;

  for (int i = 0; mono_ms () < until_ms; i = (i + 1) % CONTROLS)
    {
      if (call (seeds[i]->ip, PORT_CONTROL, "POST", "/config/put", config,
                strlen (config), 1000, NULL)
          == 200)
        {
          record ("the first configuration is acknowledged by %s",
                  seeds[i]->name);
          return;
        }
      sleep_ms (100);
    }
  harness_fail ("the first configuration was not acknowledged");
}

void
wait_ready (const node_t *node)
{
  uint64_t until_ms = mono_ms () + 20000;

  while (call (node->ip, PORT_READY, "GET", "/ready", "", 0, 1000, NULL) != 200)
    {
      if (mono_ms () > until_ms)
        harness_fail ("%s does not become ready", node->name);
      sleep_ms (50);
    }
  record ("%s is ready", node->name);
}

bool
server_reply (int fd,
              const message_t *request,
              int status,
              const char *more_fields,
              const char *body,
              size_t body_bytes)
{
  char *id = message_field (request, "Request-Id");
  char head[1024];

  snprintf (head, sizeof head,
            "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s%sContent-Length: %zu\r\n"
            "\r\n",
            status, status == 200 ? "OK" : "Service Unavailable",
            id != NULL ? id : "", status == 200 ? "Server-Stamp: s.1\r\n" : "",
            more_fields, body_bytes);
  free (id);
  return send_all (fd, head, strlen (head)) && send_all (fd, body, body_bytes);
}

typedef struct
{
  server_t *server;
  int fd;
} served_t;

static void *
serve_connection (void *context)
{
  served_t *served = context;
  message_t request;
  bool goes_on = true;

  while (goes_on && receive_message (served->fd, false, 60000, &request))
    {
      char *expected = message_field (&request, "Expect-Instance");

      if (expected != NULL && strcmp (expected, served->server->id) != 0)
        goes_on = server_reply (served->fd, &request, 421, "Not-Run: 1\r\n", "",
                                0);
      else
        goes_on = served->server->answer (served->server, served->fd, &request);
      free (expected);
      message_free (&request);
    }
  close (served->fd);
  free (served);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *context)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, context) != 0)
    harness_fail ("cannot start a thread");
  pthread_detach (thread);
}

static void *
accept_connections (void *context)
{
  server_t *server = context;

  for (;;)
    {
      int fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      served_t *served;
      int on = 1;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      served = malloc (sizeof *served);
      served->server = server;
      served->fd = fd;
      start_thread (serve_connection, served);
    }
  return NULL;
}

int
server_beat (server_t *server, int control, const char *state)
{
  char path[128];
  char body[512];

  snprintf (path, sizeof path, "/instances/%s/heartbeat", server->id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
            "\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[],\"seq\":%d,"
            "\"born\":%llu}",
            server->service, server->ip, PORT_SERVER, server->zone,
            server->slots, state, ++server->seq,
            (unsigned long long)server->born_ms);
  return call (seeds[control]->ip, PORT_CONTROL, "POST", path, body,
               strlen (body), 1000, NULL);
}

int
server_leave (server_t *server, int control)
{
  char path[128];
  char body[64];

  server->has_left = true;
  snprintf (path, sizeof path, "/instances/%s/leave", server->id);
  snprintf (body, sizeof body, "{\"born\":%llu}",
            (unsigned long long)server->born_ms);
  return call (seeds[control]->ip, PORT_CONTROL, "POST", path, body,
               strlen (body), 1000, NULL);
}

static void *
send_heartbeats (void *context)
{
  server_t *server = context;

  while (!server->has_left)
    {
      if (server_beat (server, server->control, "ready") != 200)
        {
          server->control = (server->control + 1) % CONTROLS;
          sleep_ms (50);
          continue;
        }
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

void
server_start (server_t *server,
              int number,
              const char *zone,
              const char *service,
              int slots,
              server_answer_t answer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PORT_SERVER) };
  int on = 1;

  memset (server, 0, sizeof *server);
  snprintf (server->id, sizeof server->id, "i-%d", number);
  snprintf (server->ip, sizeof server->ip, "%s.%d", net, number);
  snprintf (server->zone, sizeof server->zone, "%s", zone);
  snprintf (server->service, sizeof server->service, "%s", service);
  server->slots = slots;
  server->born_ms = wall_ms ();
  server->answer = answer;
  server->control = number % CONTROLS;
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  inet_pton (AF_INET, server->ip, &address.sin_addr);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, 128) != 0)
    harness_fail ("cannot listen on %s", server->ip);
  start_thread (accept_connections, server);
  start_thread (send_heartbeats, server);
}
