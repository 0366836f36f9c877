#include "lib-crowd.h"

#include <errno.h>
#include <event2/util.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-node-upstreams.h"

#define KIB           1024u
#define MIB           (1024u * 1024)
#define UNIT_BYTES    (64u * KIB)
#define ALMOST_WHOLE  (4 * MIB - 128 * KIB)
#define PAST_LIMIT    (8 * MIB)
#define TINY_SENT     (4 * MIB)
#define HEAD_FIELDS   180
#define DECLARED      "400000000"
#define POLL_MS       20
#define TRICKLE_MS    200
#define READ_PAUSE_MS 1000
#define READ_BYTES    (4u * KIB)
/** The sending is over when nobody could send for this time. */
#define NO_PROGRESS_MS 1500

static const char slow_path[] = "/stream/2000/4096/0";

/** What the connections of one way send after their heads: a number of bytes of
 * a unit that is repeated. */
typedef struct
{
  GString *unit;
  size_t unit_total;
} script_t;

typedef struct
{
  int fd; /* -1 when closed */
  crowd_way_t way;
  GString *head; /* with its own id */
  size_t sent;
  int64_t next_us; /* of the next slow step */
} member_t;

struct crowd
{
  crowd_options_t options;
  script_t scripts[CROWD_WAYS];
  GArray *members; /* member_t */
  GThread *thread;
  gint is_over;
  gint unsent;      /* connections that have bytes to send */
  gint progress_ms; /* of the steady clock, low bits */
};

static gint
now_ms (void)
{
  return (gint)((g_get_monotonic_time () / 1000) & G_MAXINT);
}

static GString *
make_unit (crowd_way_t way)
{
  GString *unit = g_string_new (NULL);

  if (way == CROWD_TINY_CHUNKS)
    while (unit->len < UNIT_BYTES)
      g_string_append (unit, "1\r\nx\r\n");
  else if (way == CROWD_CHUNKS || way == CROWD_CHUNKED_PAST)
    {
      g_string_append (unit, "10000\r\n");
      for (uint32_t i = 0; i < UNIT_BYTES; i++)
        g_string_append_c (unit, 'x');
      g_string_append (unit, "\r\n");
    }
  else
    for (uint32_t i = 0; i < UNIT_BYTES; i++)
      g_string_append_c (unit, 'x');
  return unit;
}

static size_t
bytes_of (crowd_way_t way)
{
  static const size_t bytes[CROWD_WAYS]
      = { [CROWD_CHUNKS] = ALMOST_WHOLE,     [CROWD_TINY_CHUNKS] = TINY_SENT,
          [CROWD_DECLARED] = ALMOST_WHOLE,   [CROWD_DECLARED_PAST] = PAST_LIMIT,
          [CROWD_CHUNKED_PAST] = PAST_LIMIT, [CROWD_TRICKLE] = ALMOST_WHOLE };

  return bytes[way];
}

static void
append_framing (GString *head, crowd_way_t way)
{
  switch (way)
    {
    case CROWD_CHUNKS:
    case CROWD_TINY_CHUNKS:
    case CROWD_CHUNKED_PAST:
      g_string_append (head, "Transfer-Encoding: chunked\r\n\r\n");
      break;
    case CROWD_DECLARED:
    case CROWD_DECLARED_PAST:
      g_string_append (head, "Content-Length: " DECLARED "\r\n\r\n");
      break;
    case CROWD_TRICKLE:
      g_string_append_printf (head, "Content-Length: %u\r\n\r\n", 4 * MIB);
      break;
    case CROWD_HEADS:
      for (uint32_t i = 0; i < HEAD_FIELDS; i++)
        g_string_append_printf (head, "X-Filler-%03u: %064u\r\n", i, i);
      break;
    default:
      g_string_append (head, "Content-Length: 0\r\n\r\n");
    }
}

static GString *
make_head (const crowd_t *crowd, crowd_way_t way, uint32_t number)
{
  GString *head = g_string_new (NULL);

  if (way == CROWD_IDLE)
    return head;
  g_string_printf (head,
                   "POST %s HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
                   ": crowd-%d-%u\r\n",
                   way == CROWD_SLOW_READERS ? slow_path : "/safe/0",
                   crowd->options.host, way, number);
  append_framing (head, way);
  return head;
}

static void
close_member (member_t *member)
{
  if (member->fd >= 0)
    close (member->fd);
  member->fd = -1;
}

static int
connect_to (const char *address, crowd_way_t way)
{
  struct sockaddr_in peer;
  int size = sizeof peer;
  int small = READ_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  evutil_parse_sockaddr_port (address, (struct sockaddr *)&peer, &size);
  if (way == CROWD_SLOW_READERS)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  if (connect (fd, (struct sockaddr *)&peer, (socklen_t)size) != 0)
    {
      close (fd);
      return -1;
    }
  evutil_make_socket_nonblocking (fd);
  return fd;
}

static bool
has_to_send (const crowd_t *crowd, const member_t *member)
{
  return member->fd >= 0
         && member->sent
                < member->head->len + crowd->scripts[member->way].unit_total;
}

/** Sends what comes next, at most @a limit bytes. */
static void
send_some (crowd_t *crowd, member_t *member, size_t limit)
{
  const script_t *script = &crowd->scripts[member->way];
  const char *data;
  size_t length;
  ssize_t sent;

  if (member->sent < member->head->len)
    {
      data = member->head->str + member->sent;
      length = member->head->len - member->sent;
    }
  else
    {
      size_t offset = (member->sent - member->head->len) % script->unit->len;

      data = script->unit->str + offset;
      length = script->unit->len - offset;
    }
  sent = send (member->fd, data, MIN (length, limit),
               MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0)
    {
      member->sent += (size_t)sent;
      g_atomic_int_set (&crowd->progress_ms, now_ms ());
    }
  else if (errno != EAGAIN && errno != EINTR)
    close_member (member);
}

/** Reads and drops what has come; a slow reader reads little at a time. */
static void
receive_some (member_t *member)
{
  char buffer[READ_BYTES];
  ssize_t got = recv (member->fd, buffer, sizeof buffer, MSG_DONTWAIT);

  if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
    close_member (member);
}

static void
step_member (crowd_t *crowd, member_t *member, short events)
{
  int64_t now_us = g_get_monotonic_time ();

  if ((events & (POLLIN | POLLERR | POLLHUP)) != 0)
    {
      receive_some (member);
      if (member->way == CROWD_SLOW_READERS)
        member->next_us = now_us + READ_PAUSE_MS * 1000;
    }
  if (member->fd < 0)
    return;
  if ((events & POLLOUT) != 0)
    send_some (crowd, member, UNIT_BYTES);
  else if (member->way == CROWD_TRICKLE && !has_to_send (crowd, member)
           && now_us >= member->next_us)
    {
      send_some (crowd, member, 1);
      member->next_us = now_us + TRICKLE_MS * 1000;
    }
}

static short
wanted_events (const crowd_t *crowd, const member_t *member)
{
  bool is_reading = member->way != CROWD_SLOW_READERS
                    || g_get_monotonic_time () >= member->next_us;

  return (short)((is_reading ? POLLIN : 0)
                 | (has_to_send (crowd, member) ? POLLOUT : 0));
}

static gpointer
run_crowd (gpointer context)
{
  crowd_t *crowd = context;
  guint count = crowd->members->len;
  struct pollfd *polls = g_new0 (struct pollfd, count);

  while (g_atomic_int_get (&crowd->is_over) == 0)
    {
      gint unsent = 0;

      for (guint i = 0; i < count; i++)
        {
          member_t *member = &g_array_index (crowd->members, member_t, i);

          polls[i] = (struct pollfd){ .fd = member->fd,
                                      .events = wanted_events (crowd, member) };
          unsent += has_to_send (crowd, member);
        }
      g_atomic_int_set (&crowd->unsent, unsent);
      poll (polls, count, POLL_MS);
      for (guint i = 0; i < count; i++)
        if (polls[i].fd >= 0)
          step_member (crowd, &g_array_index (crowd->members, member_t, i),
                       polls[i].revents);
    }
  g_free (polls);
  return NULL;
}

static void
add_members (crowd_t *crowd, crowd_way_t way)
{
  for (uint32_t i = 0; i < crowd->options.connections[way]; i++)
    {
      member_t member = { .fd = connect_to (crowd->options.address, way),
                          .way = way,
                          .head = make_head (crowd, way, i) };

      g_array_append_val (crowd->members, member);
    }
}

crowd_t *
crowd_start (const crowd_options_t *options)
{
  crowd_t *crowd = g_new0 (crowd_t, 1);

  crowd->options = *options;
  crowd->members = g_array_new (FALSE, FALSE, sizeof (member_t));
  crowd->unsent = 1;
  crowd->progress_ms = now_ms ();
  for (int way = 0; way < CROWD_WAYS; way++)
    {
      crowd->scripts[way].unit = make_unit ((crowd_way_t)way);
      crowd->scripts[way].unit_total = bytes_of ((crowd_way_t)way);
      add_members (crowd, (crowd_way_t)way);
    }
  crowd->thread = g_thread_new ("crowd", run_crowd, crowd);
  return crowd;
}

void
crowd_wait_sent (crowd_t *crowd)
{
  while (g_atomic_int_get (&crowd->unsent) > 0
         && now_ms () - g_atomic_int_get (&crowd->progress_ms) < NO_PROGRESS_MS)
    cluster_sleep_ms (POLL_MS);
}

void
crowd_free (crowd_t *crowd)
{
  g_atomic_int_set (&crowd->is_over, 1);
  g_thread_join (crowd->thread);
  for (guint i = 0; i < crowd->members->len; i++)
    {
      member_t *member = &g_array_index (crowd->members, member_t, i);

      close_member (member);
      g_string_free (member->head, TRUE);
    }
  for (int way = 0; way < CROWD_WAYS; way++)
    g_string_free (crowd->scripts[way].unit, TRUE);
  g_array_free (crowd->members, TRUE);
  g_free (crowd);
}
