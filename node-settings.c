#include "node-settings.h"

#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-client.h"
#include "settings.h"
#include "yamlmsg.h"
#define LOG_PART "settings"
#include "logging.h"

#define POLL_INTERVAL_MS 500
#define MAX_PORT         65535
/** Stop timeout of a process that is started without one. */
#define DEFAULT_STOP_TIMEOUT_S 8

struct node_settings
{
  char *path;
  Lwm__NodeSettings *content;
  char *text; /* content of the file at the last read, valid or not */
  struct event *poll_timer;
  node_settings_cb_t on_change;
  void *context;
};

/** The platform may compute a number as a share of another one. A limit is
 * rounded down, what must be tolerated is rounded up. */
static const yamlmsg_range_t ranges[] = {
  { &lwm__node_settings__descriptor,
    "first_port",
    { 1, MAX_PORT, NUMBER_EXACT } },
  { &lwm__node_settings__descriptor,
    "last_port",
    { 1, MAX_PORT, NUMBER_EXACT } },
  { &lwm__node_settings__descriptor, "announce_ms", { 10, 600000, NUMBER_UP } },
  { &lwm__node_settings__descriptor,
    "lost_machines",
    { 0, UINT32_MAX, NUMBER_UP } },
  { &lwm__node_settings__descriptor,
    "lost_zones",
    { 0, UINT32_MAX, NUMBER_UP } },
  { &lwm__node_settings__descriptor,
    "spare_retries",
    { 0, UINT32_MAX, NUMBER_DOWN } },
  { &lwm__node_settings__descriptor,
    "memory_mb",
    { 0, UINT32_MAX, NUMBER_DOWN } },
  { &lwm__node_settings__descriptor,
    "max_descriptors",
    { 0, UINT32_MAX, NUMBER_DOWN } },
  { NULL, NULL, { 0 } },
};

static int
free_settings (node_settings_t *settings)
{
  if (settings->poll_timer != NULL)
    event_free (settings->poll_timer);
  return 0;
}

static void
check_address (yamlmsg_t *reader, const char *field, const char *address)
{
  char ip[64];
  uint16_t port;

  if (*address != '\0' && !settings_split_address (address, ip, &port))
    yamlmsg_add_mistake (reader, NULL, "%s: expected IP:PORT, got '%s'", field,
                         address);
}

static void
check_settings (yamlmsg_t *reader, const Lwm__NodeSettings *content)
{
  if (*content->instance == '\0')
    yamlmsg_add_mistake (reader, NULL,
                         "instance: expected a name, got nothing");
  if (*content->address == '\0')
    yamlmsg_add_mistake (reader, NULL,
                         "address: expected an IP address, got nothing");
  if (content->first_port == 0 || content->last_port < content->first_port)
    yamlmsg_add_mistake (
        reader, NULL,
        "first_port: expected a range of ports, from first_port to "
        "last_port");
  check_address (reader, "callers", content->callers);
  check_address (reader, "status", content->status);
  check_address (reader, "control", content->control);
  for (size_t i = 0; i < content->n_seeds; i++)
    check_address (reader, "seeds", content->seeds[i]);
}

/** Parses and validates @a text. Returns NULL and sets @a mistakes when it is
 * invalid. */
static Lwm__NodeSettings *
parse_settings (void *parent,
                const char *path,
                const char *text,
                char **mistakes)
{
  Lwm__NodeSettings *content = talloc (parent, Lwm__NodeSettings);
  yamlmsg_options_t options = { .ranges = ranges };
  yamlmsg_t *reader;

  lwm__node_settings__init (content);
  reader = yamlmsg_new (content, &options, &content->base);
  yamlmsg_read (reader, path, (const uint8_t *)text, strlen (text));
  if (*yamlmsg_mistakes (reader) == '\0')
    check_settings (reader, content);
  if (*yamlmsg_mistakes (reader) == '\0')
    return content;
  *mistakes = talloc_strdup (parent, yamlmsg_mistakes (reader));
  talloc_free (content);
  return NULL;
}

node_settings_t *
node_settings_new (void *parent, const char *path)
{
  node_settings_t *settings = talloc_zero (parent, node_settings_t);
  char *mistakes = NULL;
  char *text = NULL;
  GError *error = NULL;

  settings->path = talloc_strdup (settings, path);
  talloc_set_destructor (settings, free_settings);
  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      print_error ("cannot read settings: %s", error->message);
      g_error_free (error);
      talloc_free (settings);
      return NULL;
    }
  settings->text = talloc_strdup (settings, text);
  g_free (text);
  settings->content
      = parse_settings (settings, settings->path, settings->text, &mistakes);
  if (settings->content != NULL)
    {
      if (settings->content->stop_timeout_s <= 0)
        settings->content->stop_timeout_s = DEFAULT_STOP_TIMEOUT_S;
      return settings;
    }
  print_error ("%s", mistakes);
  talloc_free (settings);
  return NULL;
}

const Lwm__NodeSettings *
node_settings_get (const node_settings_t *settings)
{
  return settings->content;
}

/** Parses settings that replace others. A file that is half written may be
 * valid but for the stop timeout, which the process was started with. */
static Lwm__NodeSettings *
parse_replacement (node_settings_t *settings, const char *text, char **mistakes)
{
  Lwm__NodeSettings *content
      = parse_settings (settings, settings->path, text, mistakes);

  if (content == NULL || content->stop_timeout_s > 0)
    return content;
  *mistakes
      = talloc_strdup (settings, "stop_timeout_s: expected a time above 0");
  talloc_free (content);
  return NULL;
}

static void
apply_text (node_settings_t *settings, const char *text)
{
  char *mistakes = NULL;
  Lwm__NodeSettings *content;

  talloc_free (settings->text);
  settings->text = talloc_strdup (settings, text);
  content = parse_replacement (settings, text, &mistakes);
  if (content == NULL)
    {
      log_error (
          "Settings are invalid; the previous ones stay in force. mistakes=%s",
          mistakes);
      talloc_free (mistakes);
      return;
    }
  talloc_free (settings->content);
  settings->content = content;
  log_info ("Settings reloaded. seeds=%zu", content->n_seeds);
  if (settings->on_change != NULL)
    settings->on_change (content, settings->context);
}

void
node_settings_reload (node_settings_t *settings)
{
  char *text = NULL;
  GError *error = NULL;

  if (!g_file_get_contents (settings->path, &text, NULL, &error))
    {
      log_error (
          "Cannot read settings; the previous ones stay in force. error=%s",
          error->message);
      g_error_free (error);
      return;
    }
  if (strcmp (text, settings->text) != 0)
    apply_text (settings, text);
  g_free (text);
}

static void
on_poll (evutil_socket_t fd, short what, void *context)
{
  node_settings_reload (context);
}

void
node_settings_watch (node_settings_t *settings,
                     struct event_base *base,
                     node_settings_cb_t on_change,
                     void *context)
{
  struct timeval interval = { .tv_usec = POLL_INTERVAL_MS * 1000 };

  settings->on_change = on_change;
  settings->context = context;
  settings->poll_timer = event_new (base, -1, EV_PERSIST, on_poll, settings);
  event_add (settings->poll_timer, &interval);
}

/** Returns the IP of @a address with @a port, which is used for messages
 * between instances; NULL when the address is malformed. */
static char *
replace_port (void *parent, const char *address, uint32_t port)
{
  char ip[64];
  uint16_t old_port;

  if (!settings_split_address (address, ip, &old_port))
    return NULL;
  return talloc_asprintf (parent, "%s:%u", ip, port);
}

char **
node_settings_control_peers (void *parent,
                             const Lwm__NodeSettings *settings,
                             size_t *count)
{
  char **peers = talloc_array (parent, char *, settings->n_seeds + 1);

  *count = 0;
  for (size_t i = 0; i < settings->n_seeds; i++)
    {
      char *peer
          = replace_port (peers, settings->seeds[i], settings->first_port);

      if (peer != NULL)
        peers[(*count)++] = peer;
    }
  return peers;
}

void
node_settings_add_control_peers (const Lwm__NodeSettings *settings,
                                 void *control_client)
{
  size_t count;
  char **peers = node_settings_control_peers (NULL, settings, &count);

  for (size_t i = 0; i < count; i++)
    control_client_add_peer (control_client, peers[i]);
  talloc_free (peers);
}

char *
node_settings_own_address (void *parent, const Lwm__NodeSettings *settings)
{
  return talloc_asprintf (parent, "%s:%u", settings->address,
                          settings->first_port);
}

uint16_t
node_settings_tunnel_port (const Lwm__NodeSettings *settings)
{
  return settings->last_port > settings->first_port
             ? (uint16_t)settings->last_port
             : 0;
}
