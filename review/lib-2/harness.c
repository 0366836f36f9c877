#define _GNU_SOURCE
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
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_ARRIVALS 100000

machine_t machines[MAX_MACHINES];
int machine_count;
int base_port;
bool has_trouble;

static FILE *record_file;
static uint64_t begin_ms;
static char folder[128];
static int network; /* second byte of the loopback addresses */
static int next_host = 1;
static arrival_t *arrived;
static int arrival_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static uint64_t
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

void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&lock);
  fprintf (record_file, "%9.3f ", (double)(now_ms () - begin_ms) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&lock);
}

static struct sockaddr_in
make_address (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static bool
is_port_free (int port)
{
  struct sockaddr_in address = make_address ("0.0.0.0", port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return is_free;
}

static void
choose_ports (void)
{
  srand ((unsigned)getpid () * 7919u + (unsigned)wall_ms ());
  network = 30 + rand () % 200;
  for (int try = 0; try < 200; try++)
    {
      bool are_free = true;

      base_port = 12000 + rand () % 18000;
      for (int i = 0; i < 40; i++)
        are_free = are_free && is_port_free (base_port + i);
      if (are_free)
        return;
    }
  fail_case ("no free ports");
}

void
harness_begin (const char *case_folder)
{
  char path[512];
  const char *trouble = getenv ("TROUBLE");

  signal (SIGPIPE, SIG_IGN);
  begin_ms = now_ms ();
  has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record_file = fopen (path, "w");
  if (record_file == NULL)
    {
      perror (path);
      exit (2);
    }
  arrived = calloc (MAX_ARRIVALS, sizeof *arrived);
  snprintf (folder, sizeof folder, "/tmp/lwm-review-XXXXXX");
  if (mkdtemp (folder) == NULL)
    fail_case ("no temporary folder");
  choose_ports ();
  record ("begin trouble=%d ports=%d", has_trouble, base_port);
}

void
harness_end (int code)
{
  char command[256];

  for (int i = 0; i < machine_count; i++)
    if (machines[i].pid > 0)
      {
        kill (machines[i].pid, SIGKILL);
        waitpid (machines[i].pid, NULL, 0);
      }
  record ("end code=%d", code);
  if (getenv ("KEEP") == NULL)
    {
      snprintf (command, sizeof command, "rm -rf '%s'", folder);
      if (system (command) != 0)
        perror (command);
    }
  else
    printf ("logs: %s\n", folder);
  fflush (NULL);
  _exit (code);
}

void
fail_case (const char *why)
{
  record ("the case could not run: %s", why);
  fprintf (stderr, "the case could not run: %s\n", why);
  harness_end (2);
}

int
control_port (void)
{
  return base_port;
}

int
ready_port (void)
{
  return base_port + 20;
}

int
front_port (void)
{
  return base_port + 21;
}

machine_t *
add_machine (const char *name, const char *zone, bool is_control)
{
  machine_t *machine = &machines[machine_count++];

  snprintf (machine->name, sizeof machine->name, "%s", name);
  snprintf (machine->zone, sizeof machine->zone, "%s", zone);
  snprintf (machine->ip, sizeof machine->ip, "127.%d.1.%d", network,
            next_host++);
  snprintf (machine->folder, sizeof machine->folder, "%s/%s", folder, name);
  machine->is_control = is_control;
  mkdir (machine->folder, 0700);
  return machine;
}

/** Writes the settings as platform/settings.yaml renders them for a small
 * deployment. */
static void
write_settings (const machine_t *machine, bool first, const char *path)
{
  FILE *file = fopen (path, "w");
  int seeds = 0;

  fprintf (file,
           "instance: \"%s\"\nzone: \"%s\"\naddress: \"%s\"\n"
           "first_port: %d\nlast_port: %d\n",
           machine->name, machine->zone, machine->ip, base_port + 1,
           base_port + 16);
  if (machine->is_control)
    fprintf (file, "callers: \"\"\nstatus: \"\"\ncontrol: \"%s:%d\"\n",
             machine->ip, control_port ());
  else
    fprintf (file, "callers: \"%s:%d\"\nstatus: \"%s:%d\"\ncontrol: \"\"\n",
             machine->ip, front_port (), machine->ip, ready_port ());
  fprintf (file, "seeds: [ ");
  for (int i = 0; i < machine_count && seeds < 3; i++)
    if (machines[i].is_control)
      fprintf (file, "%s\"%s:%d\"", seeds++ > 0 ? "," : "", machines[i].ip,
               control_port ());
  fprintf (file,
           " ]\nfound: %s\ndata_folder: \"%s\"\nannounce_ms: %d\n"
           "stop_timeout_s: 8\ncatch_up_s: 4\nlost_machines: 1\n"
           "lost_zones: 1\nretry_share: 0.2\nspare_retries: 100\n"
           "keeps_state: %s\nmemory_mb: %d\nmax_descriptors: %d\n"
           "zones: [ \"za\",\"zb\",\"zc\" ]\n",
           first ? "true" : "false", machine->is_control ? machine->folder : "",
           HEARTBEAT_MS, machine->is_control ? "true" : "false",
           machine->is_control ? 256 : 260, machine->is_control ? 4096 : 4200);
  fclose (file);
}

void
start_machine (machine_t *machine, bool first)
{
  char settings[512];
  char log[512];
  const char *program = machine->is_control ? "target/lwm-platform-control"
                                            : "target/lwm-platform-entry";

  snprintf (settings, sizeof settings, "%s/%s.yaml", folder, machine->name);
  snprintf (log, sizeof log, "%s/%s.log", folder, machine->name);
  write_settings (machine, first, settings);
  if (access (program, X_OK) != 0)
    fail_case ("target/ is not built");
  machine->pid = fork ();
  if (machine->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);

      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("LACEWINGMAST_NODE_FILE", settings, 1);
      execl (program, program, (char *)NULL);
      _exit (127);
    }
  record ("platform starts %s at %s", machine->name, machine->ip);
}

void
signal_machine (machine_t *machine, int signal_number)
{
  if (machine->pid > 0)
    kill (machine->pid, signal_number);
  record ("platform sends signal %d to %s", signal_number, machine->name);
}

void
kill_machine (machine_t *machine)
{
  signal_machine (machine, SIGKILL);
  if (machine->pid > 0)
    waitpid (machine->pid, NULL, 0);
  machine->pid = 0;
}

bool
has_ended (machine_t *machine)
{
  int status;

  if (machine->pid == 0)
    return true;
  if (waitpid (machine->pid, &status, WNOHANG) != machine->pid)
    return false;
  if (WIFEXITED (status))
    record ("%s has ended by itself, exit code %d", machine->name,
            WEXITSTATUS (status));
  else
    record ("%s has ended on signal %d", machine->name, WTERMSIG (status));
  machine->pid = 0;
  return true;
}

static bool
wait_for (int fd, short what, uint64_t until_ms)
{
  struct pollfd poll_fd = { .fd = fd, .events = what };
  uint64_t now = now_ms ();

  return now < until_ms && poll (&poll_fd, 1, (int)(until_ms - now)) == 1;
}

static int
connect_to (const char *ip, int port, uint64_t until_ms)
{
  struct sockaddr_in address = make_address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int error = 0;
  socklen_t size = sizeof error;

  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      && (errno != EINPROGRESS || !wait_for (fd, POLLOUT, until_ms)
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
          || error != 0))
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
write_all (int fd, const char *data, size_t size, uint64_t until_ms)
{
  while (size > 0)
    {
      ssize_t written = send (fd, data, size, MSG_NOSIGNAL);

      if (written < 0 && errno == EAGAIN && wait_for (fd, POLLOUT, until_ms))
        continue;
      if (written <= 0)
        return false;
      data += written;
      size -= (size_t)written;
    }
  return true;
}

bool
find_field (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          line += length + 1;
          while (*line == ' ')
            line++;
          snprintf (value, size, "%.*s", (int)strcspn (line, "\r\n"), line);
          return true;
        }
    }
  return false;
}

/** Reads a message; returns the bytes of its head and body, 0 when it is not
 * complete. @a data keeps what was read, ended by a zero byte. */
static size_t
read_message (int fd, char *data, size_t size, size_t *used, uint64_t until_ms)
{
  for (;;)
    {
      char *end;
      ssize_t got;

      data[*used] = '\0';
      end = strstr (data, "\r\n\r\n");
      if (end != NULL)
        {
          size_t head = (size_t)(end - data) + 4;
          char value[64];
          char saved = data[head];
          size_t body = 0;
          bool is_chunked;

          data[head] = '\0';
          is_chunked
              = find_field (data, "Transfer-Encoding", value, sizeof value);
          if (!is_chunked
              && find_field (data, "Content-Length", value, sizeof value))
            body = strtoul (value, NULL, 10);
          data[head] = saved;
          if (is_chunked)
            {
              char *last = strstr (data + head, "0\r\n\r\n");

              if (last != NULL)
                return (size_t)(last - data) + 5;
            }
          else if (*used >= head + body)
            return head + body;
        }
      if (*used + 1 >= size || !wait_for (fd, POLLIN, until_ms))
        return 0;
      got = recv (fd, data + *used, size - 1 - *used, 0);
      if (got <= 0)
        return 0;
      *used += (size_t)got;
    }
}

answer_t
http_call (const char *ip,
           int port,
           const char *method,
           const char *path,
           const char *fields,
           const char *body,
           int timeout_ms)
{
  static __thread char data[MAX_TEXT];
  answer_t answer = { 0 };
  uint64_t until_ms = now_ms () + (uint64_t)timeout_ms;
  int fd = connect_to (ip, port, until_ms);
  char head[4096];
  size_t body_bytes = body != NULL ? strlen (body) : 0;
  size_t used = 0;
  size_t message = 0;

  if (fd < 0)
    return answer;
  snprintf (head, sizeof head, "%s %s HTTP/1.1\r\n%s%s", method, path,
            fields != NULL ? fields : "", "");
  if (fields == NULL || strstr (fields, "Host:") == NULL)
    snprintf (head + strlen (head), sizeof head - strlen (head), "Host: %s\r\n",
              ip);
  if (strcmp (method, "GET") != 0)
    snprintf (head + strlen (head), sizeof head - strlen (head),
              "Content-Length: %zu\r\n", body_bytes);
  snprintf (head + strlen (head), sizeof head - strlen (head), "\r\n");
  if (write_all (fd, head, strlen (head), until_ms)
      && write_all (fd, body != NULL ? body : "", body_bytes, until_ms))
    message = read_message (fd, data, sizeof data, &used, until_ms);
  close (fd);
  if (used > 12)
    {
      char *end = strstr (data, "\r\n\r\n");
      size_t head_bytes = end != NULL ? (size_t)(end - data) + 4 : used;

      if (end != NULL)
        answer.status = atoi (data + 9);
      snprintf (answer.head, sizeof answer.head, "%.*s", (int)head_bytes, data);
      answer.is_complete = message > 0;
      if (message > head_bytes)
        {
          answer.body_bytes = message - head_bytes;
          memcpy (answer.body, data + head_bytes, answer.body_bytes);
        }
    }
  return answer;
}

bool
wait_ready (const machine_t *machine, int timeout_ms)
{
  uint64_t until_ms = now_ms () + (uint64_t)timeout_ms;

  while (now_ms () < until_ms)
    {
      if (http_call (machine->ip, ready_port (), "GET", "/ready", NULL, NULL,
                     500)
              .status
          == 200)
        {
          record ("%s is ready", machine->name);
          return true;
        }
      sleep_ms (100);
    }
  return false;
}

bool
put_config (const char *text, int timeout_ms)
{
  uint64_t until_ms = now_ms () + (uint64_t)timeout_ms;

  for (int i = 0; now_ms () < until_ms; i++)
    {
      const machine_t *machine = &machines[i % machine_count];
      int status;

      if (!machine->is_control)
        continue;
      status = http_call (machine->ip, control_port (), "POST", "/config/put",
                          "Content-Type: application/json\r\n", text, 1000)
                   .status;
      record ("operator sends a configuration to %s: %d", machine->name,
              status);
      if (status == 200)
        return true;
      sleep_ms (200);
    }
  return false;
}

static void
add_arrival (const server_t *server, const char *id)
{
  pthread_mutex_lock (&lock);
  if (arrival_count < MAX_ARRIVALS)
    {
      arrival_t *arrival = &arrived[arrival_count++];

      snprintf (arrival->server, sizeof arrival->server, "%s", server->id);
      snprintf (arrival->id, sizeof arrival->id, "%s", id);
      arrival->at_ms = now_ms ();
    }
  pthread_mutex_unlock (&lock);
  record ("request %s reaches server %s", id, server->id);
}

const arrival_t *
arrivals (int *count)
{
  pthread_mutex_lock (&lock);
  *count = arrival_count;
  pthread_mutex_unlock (&lock);
  return arrived;
}

typedef struct
{
  server_t *server;
  int fd;
  int generation;
} connection_t;

bool
has_crashed (const request_t *request)
{
  return request->server->generation != request->generation;
}

bool
write_bytes (int fd, const char *data, size_t size)
{
  return write_all (fd, data, size, now_ms () + 2000);
}

static void
send_answer (server_t *server,
             int fd,
             const char *id,
             int status,
             const char *extra)
{
  static const char body[] = "{\"done\":true}";
  char head[2048];

  snprintf (head, sizeof head,
            "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n%s%s%s%s%s%s",
            status, strlen (body), *id != '\0' ? "Request-Id: " : "", id,
            *id != '\0' ? "\r\n" : "",
            server->is_ending ? "Server-Leaving: 1\r\n" : "", extra,
            "Server-Load: 1,0,8\r\n\r\n");
  write_all (fd, head, strlen (head), now_ms () + 1000);
  write_all (fd, body, strlen (body), now_ms () + 1000);
}

/** Serves one request. Returns false when the connection is to be reset. */
static bool
serve (const connection_t *connection, const char *head)
{
  server_t *server = connection->server;
  int fd = connection->fd;
  char id[64] = "";
  char wanted[64] = "";
  char method[16] = "";
  char path[256] = "";
  char extra[512] = "";
  int status = 200;

  sscanf (head, "%15s %255s", method, path);
  find_field (head, "Request-Id", id, sizeof id);
  if (find_field (head, "Expect-Instance", wanted, sizeof wanted)
      && strcmp (wanted, server->id) != 0)
    {
      send_answer (server, fd, id, 421, "Not-Run: 1\r\n");
      return true;
    }
  if (strcmp (path, "/health") == 0)
    {
      snprintf (extra, sizeof extra, "Instance-Id: %s\r\n", server->id);
      send_answer (server, fd, id, server->is_ending ? 503 : 200, extra);
      return true;
    }
  if (*id == '\0')
    {
      send_answer (server, fd, id, 400, "Not-Run: 1\r\n");
      return true;
    }
  add_arrival (server, id);
  if (server->work != NULL)
    {
      request_t request = { .server = server,
                            .fd = fd,
                            .generation = connection->generation,
                            .id = id,
                            .path = path,
                            .head = head };

      status = server->work (&request);
    }
  else
    sleep_ms ((uint64_t)server->work_ms);
  if (status <= 0)
    return status == WORK_ANSWERED;
  snprintf (extra + strlen (extra), sizeof extra - strlen (extra),
            "Server-Stamp: %s.%s\r\n", server->id, id);
  send_answer (server, fd, id, status, extra);
  record ("server %s answers %s: %d", server->id, id, status);
  return true;
}

static void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/** Adds a connection to those that a crash resets. */
static void
add_connection (connection_t *connection)
{
  server_t *server = connection->server;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    if (server->connections[i] == 0)
      {
        server->connections[i] = connection->fd;
        break;
      }
  pthread_mutex_unlock (&lock);
}

/** Closes a connection, which a crash does not reset any more. */
static void
close_connection (connection_t *connection)
{
  server_t *server = connection->server;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    if (server->connections[i] == connection->fd)
      server->connections[i] = 0;
  close (connection->fd);
  pthread_mutex_unlock (&lock);
}

static void *
serve_connection (void *context)
{
  connection_t *connection = context;
  char *data = malloc (MAX_TEXT);
  size_t used = 0;

  for (;;)
    {
      const server_t *server = connection->server;
      size_t message = read_message (connection->fd, data, MAX_TEXT, &used,
                                     now_ms () + 20000);

      if (message == 0 || server->is_gone)
        break;
      if (server->generation != connection->generation
          || !serve (connection, data))
        {
          reset_connection (connection->fd);
          break;
        }
      memmove (data, data + message, used - message);
      used -= message;
    }
  close_connection (connection);
  free (data);
  free (connection);
  return NULL;
}

void
start_thread (void *(*run) (void *), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 1024 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    fail_case ("no thread");
}

/** Listens at the server's address. */
static void
open_listener (server_t *server)
{
  struct sockaddr_in address = make_address (server->ip, server->port);
  int on = 1;

  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, 128) != 0)
    fail_case ("a server cannot listen");
}

static void *
accept_connections (void *context)
{
  server_t *server = context;

  for (;;)
    {
      connection_t *connection;
      int fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0)
        {
          sleep_ms (5);
          continue;
        }
      connection = malloc (sizeof *connection);
      connection->server = server;
      connection->fd = fd;
      connection->generation = server->generation;
      fcntl (fd, F_SETFL, O_NONBLOCK);
      add_connection (connection);
      start_thread (serve_connection, connection);
    }
  return NULL;
}

int
server_beat (server_t *server, const machine_t *control, const char *state)
{
  char path[128];
  char body[512];

  snprintf (path, sizeof path, "/instances/%s/heartbeat", server->id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
            "\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[],"
            "\"born\":%llu,\"seq\":%d}",
            server->service, server->ip, server->port, server->zone, state,
            (unsigned long long)server->born_ms, ++server->sequence);
  return http_call (control->ip, control_port (), "POST", path,
                    "Content-Type: application/json\r\n", body, 1000)
      .status;
}

int
server_leave (server_t *server, const machine_t *control)
{
  char path[128];
  char body[128];
  int status;

  snprintf (path, sizeof path, "/instances/%s/leave", server->id);
  snprintf (body, sizeof body, "{\"born\":%llu,\"seq\":%d}",
            (unsigned long long)server->born_ms, ++server->sequence);
  status = http_call (control->ip, control_port (), "POST", path,
                      "Content-Type: application/json\r\n", body, 1000)
               .status;
  record ("server %s says to %s that it leaves: %d", server->id, control->name,
          status);
  return status;
}

static void *
send_beats (void *context)
{
  server_t *server = context;
  int turn = rand ();

  while (!server->is_gone)
    {
      for (int tries = 0;
           server->beats && !server->is_down && tries < machine_count; tries++)
        {
          const machine_t *control = &machines[turn++ % machine_count];

          if (control->is_control
              && server_beat (server, control, "ready") == 200)
            break;
        }
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

typedef struct
{
  server_t *server;
  int down_ms;
} crash_t;

static void *
come_back (void *context)
{
  crash_t *crash = context;
  server_t *server = crash->server;
  char *dash = strrchr (server->id, '.');

  sleep_ms ((uint64_t)crash->down_ms);
  if (dash != NULL)
    *dash = '\0';
  snprintf (server->id + strlen (server->id),
            sizeof server->id - strlen (server->id), ".%d", server->generation);
  server->born_ms = wall_ms ();
  server->sequence = 0;
  open_listener (server);
  server->is_down = false;
  record ("server %s is back", server->id);
  free (crash);
  return NULL;
}

void
server_crash (server_t *server, int down_ms)
{
  crash_t *crash = malloc (sizeof *crash);
  struct sockaddr nowhere = { .sa_family = AF_UNSPEC };
  int listener;

  pthread_mutex_lock (&lock);
  server->generation++;
  server->is_down = true;
  listener = server->listener;
  server->listener = -1;
  shutdown (listener, SHUT_RDWR);
  close (listener);
  /* Without an address, the call resets the connection. */
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    if (server->connections[i] != 0)
      connect (server->connections[i], &nowhere, sizeof nowhere);
  pthread_mutex_unlock (&lock);
  record ("server %s crashes", server->id);
  crash->server = server;
  crash->down_ms = down_ms;
  start_thread (come_back, crash);
}

void
server_start (server_t *server)
{
  snprintf (server->ip, sizeof server->ip, "127.%d.2.%d", network, next_host++);
  server->port = base_port + 30;
  server->born_ms = wall_ms ();
  server->beats = true;
  open_listener (server);
  record ("server %s of service %s starts at %s:%d", server->id,
          server->service, server->ip, server->port);
  start_thread (accept_connections, server);
  start_thread (send_beats, server);
}
