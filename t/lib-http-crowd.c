#include "lib-http-crowd.h"

#include <errno.h>
#include <event2/util.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-http-socket.h"

/** Least size of the block of repeated units that is sent at once. */
#define BLOCK_BYTES     65536u
#define POLL_MS         50
#define READ_BYTES      65536
#define SLOW_READ_MS    100
#define SLOW_BUFFER     4096
#define STANDSTILL_MS   1000
#define ONE_ANSWER_MS   60000
#define US_PER_MS       1000
#define MS_PER_S        1000u
#define SAMPLE_MS       20
#define STATUS_PEAK     "VmHWM:"
#define DESCRIPTORS_DIR "/proc/%d/fd"

typedef struct
{
  int fd; /* -1 once the connection has ended */
  uint64_t sent;
} client_t;

struct http_crowd
{
  http_crowd_options_t options;
  char *head;
  GByteArray *block; /* repeated units */
  client_t *clients;
  GThread *thread;
  int stopping;          /* atomic */
  int unfinished;        /* atomic: clients that still have to send */
  gint64 last_ms;        /* atomic enough: of the last progress */
  gint64 last_slow_read; /* us */
};

static const process_t *watched;
static uint32_t most_descriptors;

void
http_crowd_raise_limit (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

uint64_t
http_crowd_peak_kb (const process_t *process)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)process_pid (process));
  char *text = NULL;
  const char *line;
  uint64_t peak_kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, STATUS_PEAK)) != NULL)
    peak_kb = g_ascii_strtoull (line + strlen (STATUS_PEAK), NULL, 10);
  g_free (text);
  g_free (path);
  return peak_kb;
}

uint32_t
http_crowd_descriptors (const process_t *process)
{
  char *path = g_strdup_printf (DESCRIPTORS_DIR, (int)process_pid (process));
  GDir *folder = g_dir_open (path, 0, NULL);
  uint32_t count = 0;

  while (folder != NULL && g_dir_read_name (folder) != NULL)
    count++;
  if (folder != NULL)
    g_dir_close (folder);
  g_free (path);
  return count;
}

void
http_crowd_watch (const process_t *process)
{
  watched = process;
  most_descriptors = 0;
}

uint32_t
http_crowd_most_descriptors (void)
{
  if (watched != NULL)
    most_descriptors = MAX (most_descriptors, http_crowd_descriptors (watched));
  return most_descriptors;
}

static uint64_t
total_bytes (const http_crowd_t *crowd)
{
  return strlen (crowd->head)
         + (crowd->options.unit_bytes > 0 ? crowd->options.repeated_bytes : 0);
}

static int
connect_client (const http_crowd_options_t *options)
{
  struct sockaddr_in peer;
  int size = sizeof peer;
  int buffer = SLOW_BUFFER;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  g_assert_cmpint (fd, >=, 0);
  if (options->read_bytes_s > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  evutil_parse_sockaddr_port (options->address, (struct sockaddr *)&peer,
                              &size);
  if (connect (fd, (struct sockaddr *)&peer, (socklen_t)size) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
end_client (client_t *client)
{
  close (client->fd);
  client->fd = -1;
}

static void
note_progress (http_crowd_t *crowd)
{
  crowd->last_ms = g_get_monotonic_time () / US_PER_MS;
}

/** Sends what the socket takes. */
static void
send_more (http_crowd_t *crowd, client_t *client)
{
  uint64_t head_bytes = strlen (crowd->head);
  uint64_t total = total_bytes (crowd);

  while (client->fd >= 0 && client->sent < total)
    {
      const void *data = crowd->head + client->sent;
      uint64_t bytes = head_bytes - MIN (client->sent, head_bytes);
      ssize_t sent;

      if (bytes == 0)
        {
          uint64_t offset = (client->sent - head_bytes) % crowd->block->len;

          data = crowd->block->data + offset;
          bytes = MIN (crowd->block->len - offset, total - client->sent);
        }
      sent = send (client->fd, data, bytes, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN))
        return;
      if (sent <= 0)
        {
          end_client (client);
          return;
        }
      client->sent += (uint64_t)sent;
      note_progress (crowd);
    }
}

static void
read_answer (client_t *client, size_t bytes)
{
  static char buffer[READ_BYTES];
  ssize_t got = recv (client->fd, buffer, MIN (bytes, sizeof buffer), 0);

  if (got == 0 || (got < 0 && errno != EAGAIN))
    end_client (client);
}

static void
poll_clients (http_crowd_t *crowd)
{
  uint32_t count = crowd->options.connections;
  struct pollfd *pollers = g_new0 (struct pollfd, count);
  bool is_slow = crowd->options.read_bytes_s > 0;
  int unfinished = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      bool has_more = crowd->clients[i].sent < total_bytes (crowd);

      pollers[i].fd = crowd->clients[i].fd;
      pollers[i].events
          = (short)((has_more ? POLLOUT : 0) | (is_slow ? 0 : POLLIN));
      unfinished += has_more && pollers[i].fd >= 0;
    }
  g_atomic_int_set (&crowd->unfinished, unfinished);
  poll (pollers, count, POLL_MS);
  for (uint32_t i = 0; i < count; i++)
    {
      if ((pollers[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0 && !is_slow)
        read_answer (&crowd->clients[i], READ_BYTES);
      if ((pollers[i].revents & POLLOUT) != 0)
        send_more (crowd, &crowd->clients[i]);
    }
  g_free (pollers);
}

static void
read_slowly (http_crowd_t *crowd)
{
  gint64 now_us = g_get_monotonic_time ();
  size_t bytes = crowd->options.read_bytes_s * SLOW_READ_MS / MS_PER_S;

  if (crowd->options.read_bytes_s == 0
      || now_us < crowd->last_slow_read + SLOW_READ_MS * US_PER_MS)
    return;
  crowd->last_slow_read = now_us;
  for (uint32_t i = 0; i < crowd->options.connections; i++)
    if (crowd->clients[i].fd >= 0)
      read_answer (&crowd->clients[i], bytes);
}

static void *
run_crowd (void *context)
{
  http_crowd_t *crowd = context;

  while (g_atomic_int_get (&crowd->stopping) == 0)
    {
      poll_clients (crowd);
      read_slowly (crowd);
    }
  return NULL;
}

static GByteArray *
make_block (const http_crowd_options_t *options)
{
  GByteArray *block = g_byte_array_new ();

  while (options->unit_bytes > 0 && block->len < BLOCK_BYTES)
    g_byte_array_append (block, (const guint8 *)options->unit,
                         options->unit_bytes);
  return block;
}

http_crowd_t *
http_crowd_start (const http_crowd_options_t *options)
{
  http_crowd_t *crowd = g_new0 (http_crowd_t, 1);

  crowd->options = *options;
  crowd->head = g_strdup (options->head);
  crowd->block = make_block (options);
  crowd->clients = g_new0 (client_t, options->connections);
  for (uint32_t i = 0; i < options->connections; i++)
    crowd->clients[i].fd = connect_client (options);
  crowd->unfinished = (int)options->connections;
  note_progress (crowd);
  crowd->thread = g_thread_new ("crowd", run_crowd, crowd);
  return crowd;
}

static bool
stands_still (const http_crowd_t *crowd)
{
  return g_get_monotonic_time () / US_PER_MS - crowd->last_ms > STANDSTILL_MS;
}

void
http_crowd_wait (http_crowd_t *crowd)
{
  while (g_atomic_int_get (&crowd->unfinished) > 0 && !stands_still (crowd))
    {
      http_crowd_most_descriptors ();
      cluster_sleep_ms (SAMPLE_MS);
    }
  /* What was sent last is still being read. */
  cluster_sleep_ms (STANDSTILL_MS);
  http_crowd_most_descriptors ();
}

void
http_crowd_free (http_crowd_t *crowd)
{
  g_atomic_int_set (&crowd->stopping, 1);
  g_thread_join (crowd->thread);
  for (uint32_t i = 0; i < crowd->options.connections; i++)
    if (crowd->clients[i].fd >= 0)
      close (crowd->clients[i].fd);
  g_byte_array_free (crowd->block, TRUE);
  g_free (crowd->clients);
  g_free (crowd->head);
  g_free (crowd);
}

int
http_crowd_send_one (const http_crowd_options_t *options)
{
  http_socket_t *client = http_socket_connect (options->address);
  GByteArray *block = make_block (options);
  uint64_t left = options->unit_bytes > 0 ? options->repeated_bytes : 0;
  http_message_t answer;
  bool is_open;
  int status;

  g_assert_nonnull (client);
  is_open = http_socket_send (client, options->head, strlen (options->head));
  while (is_open && left > 0)
    {
      size_t bytes = MIN (left, block->len);

      is_open = http_socket_send (client, (const char *)block->data, bytes);
      left -= bytes;
    }
  http_socket_receive (
      client, g_get_monotonic_time () + (gint64)ONE_ANSWER_MS * US_PER_MS,
      &answer);
  status = answer.status;
  http_message_clear (&answer);
  http_socket_free (client);
  g_byte_array_free (block, TRUE);
  return status;
}
