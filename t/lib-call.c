/* Implements the blocking HTTP calls that lib-cluster.h declares. */
#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-cluster.h"

#define CALL_TIMEOUT_MS 30000

static int
connect_to (const char *address)
{
  char *ip = g_strdup (address);
  char *colon = strrchr (ip, ':');
  struct sockaddr_in peer = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  *colon = '\0';
  peer.sin_port = htons ((uint16_t)atoi (colon + 1));
  inet_pton (AF_INET, ip, &peer.sin_addr);
  g_free (ip);
  if (connect (fd, (struct sockaddr *)&peer, sizeof peer) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
write_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      size -= (size_t)sent;
    }
  return true;
}

static GString *
read_to_end (int fd, uint32_t timeout_ms)
{
  GString *text = g_string_new (NULL);
  struct pollfd poller = { .fd = fd, .events = POLLIN };
  int64_t deadline_us = g_get_monotonic_time () + (int64_t)timeout_ms * 1000;
  char chunk[16384];

  for (;;)
    {
      int64_t remaining_ms = (deadline_us - g_get_monotonic_time ()) / 1000;
      ssize_t received;

      if (remaining_ms <= 0 || poll (&poller, 1, (int)remaining_ms) != 1)
        break;
      received = read (fd, chunk, sizeof chunk);
      if (received <= 0)
        break;
      g_string_append_len (text, chunk, received);
    }
  return text;
}

/* Decodes a chunked HTTP body up to the first incomplete or invalid chunk. */
static char *
decode_chunked_body (const char *chunk)
{
  GString *body = g_string_new (NULL);

  for (;;)
    {
      char *end;
      unsigned long size = strtoul (chunk, &end, 16);

      if (end == chunk || size == 0 || strncmp (end, "\r\n", 2) != 0
          || strlen (end + 2) < size)
        break;
      g_string_append_len (body, end + 2, (gssize)size);
      chunk = end + 2 + size;
      if (strncmp (chunk, "\r\n", 2) == 0)
        chunk += 2;
    }
  return g_string_free (body, FALSE);
}

static JsonObject *
parse_json (const char *text)
{
  JsonParser *parser = json_parser_new ();
  JsonObject *object = NULL;

  if (json_parser_load_from_data (parser, text, -1, NULL)
      && json_parser_get_root (parser) != NULL
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    object = json_object_ref (
        json_node_get_object (json_parser_get_root (parser)));
  g_object_unref (parser);
  return object;
}

static answer_t
parse_answer (const char *text)
{
  answer_t answer = { 0 };
  const char *body = strstr (text, "\r\n\r\n");
  char *head = g_ascii_strdown (text, body != NULL ? body - text : -1);

  if (g_str_has_prefix (text, "HTTP/1.1 ") && body != NULL)
    answer.status = atoi (text + 9);
  if (body == NULL)
    answer.body = g_strdup ("");
  else if (strstr (head, "transfer-encoding: chunked") != NULL)
    answer.body = decode_chunked_body (body + 4);
  else
    answer.body = g_strdup (body + 4);
  answer.json = parse_json (answer.body);
  g_free (head);
  return answer;
}

answer_t
cluster_call_with (const char *address,
                   const char *method,
                   const char *path,
                   const char *headers,
                   const char *body,
                   uint32_t timeout_ms)
{
  GString *request = g_string_new (NULL);
  GString *text;
  answer_t answer;
  int fd = connect_to (address);

  g_string_printf (request,
                   "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s",
                   method, path, address, headers != NULL ? headers : "");
  if (body != NULL)
    g_string_append_printf (
        request, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
        strlen (body));
  g_string_append (request, "\r\n");
  if (body != NULL)
    g_string_append (request, body);
  if (fd < 0)
    text = g_string_new (NULL);
  else
    {
      write_all (fd, request->str, request->len);
      text = read_to_end (fd, timeout_ms);
      close (fd);
    }
  answer = parse_answer (text->str);
  g_string_free (text, TRUE);
  g_string_free (request, TRUE);
  return answer;
}

answer_t
cluster_call (const char *address,
              const char *method,
              const char *path,
              const char *body)
{
  return cluster_call_with (address, method, path, NULL, body, CALL_TIMEOUT_MS);
}

void
cluster_answer_free (answer_t *answer)
{
  g_free (answer->body);
  if (answer->json != NULL)
    json_object_unref (answer->json);
  *answer = (answer_t){ 0 };
}

static double
sum_metric_samples (const char *address, const char *wanted, bool is_full_name)
{
  answer_t answer = cluster_call (address, "GET", "/metrics", NULL);
  char **lines = g_strsplit (answer.body, "\n", -1);
  double sum = 0;
  bool found = false;

  for (size_t i = 0; lines[i] != NULL; i++)
    {
      char *space = strrchr (lines[i], ' ');

      if (lines[i][0] == '#' || space == NULL
          || !g_str_has_prefix (lines[i], wanted))
        continue;
      if (is_full_name && (size_t)(space - lines[i]) != strlen (wanted))
        continue;
      sum += strtod (space + 1, NULL);
      found = true;
    }
  g_strfreev (lines);
  cluster_answer_free (&answer);
  return found ? sum : -1;
}

double
cluster_metric (const char *address, const char *sample)
{
  return sum_metric_samples (address, sample, true);
}

double
cluster_metric_sum (const char *address, const char *prefix)
{
  return sum_metric_samples (address, prefix, false);
}
