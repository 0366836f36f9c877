#include "entry-config.h"

#include <event2/event.h>
#include <inttypes.h>
#include <talloc.h>

#include "config.h"
#include "entry-control.h"
#include "message.h"
#define LOG_PART "config"
#include "logging.h"

#define PROPOSAL_RETRY_MS 1000

struct entry_config
{
  entry_config_options_t options;
  control_client_t *watcher; /* NULL: the group is not watched */
  Lwm__Config *proposal;     /* NULL: no proposal is unanswered */
  bool is_proposing;
  bool is_replaced; /* the proposal was replaced after it was sent */
  struct event *retry_timer;
};

/** Offers a revision of the control group to the membership. The numbers of
 * successive revisions only increase. */
static void
on_revision (const Lwm__ControlRevision *revision, void *context)
{
  entry_config_t *config = context;
  Lwm__Config *content
      = config_unpack (config, revision->config.data, revision->config.len);

  if (content == NULL)
    log_error ("Revision cannot be read; the current one stays in force. "
               "number=%" PRIu64,
               revision->number);
  else
    membership_offer_config (config->options.membership, content);
  talloc_free (content);
}

void
entry_config_update (entry_config_t *config)
{
  control_client_options_t options
      = { .base = config->options.base,
          .peers = config->options.peers,
          .peer_count = config->options.peer_count,
          .known_number
          = membership_revision_number (config->options.membership),
          .on_revision = on_revision,
          .context = config };
  bool is_delegate = membership_is_delegate (config->options.membership);

  if (is_delegate && config->watcher == NULL)
    config->watcher = control_client_new (config, &options);
  else if (!is_delegate)
    TALLOC_FREE (config->watcher);
}

static void send_proposal (entry_config_t *config);

static void
on_proposed (error_kind_t kind,
             const char *detail,
             JsonNode *node,
             void *context)
{
  entry_config_t *config = context;
  struct timeval delay = { .tv_sec = PROPOSAL_RETRY_MS / 1000 };

  config->is_proposing = false;
  if (node != NULL)
    json_node_unref (node);
  if (config->is_replaced)
    {
      send_proposal (config);
      return;
    }
  if (kind == ERROR_NO_QUORUM || kind == ERROR_OUTCOME_UNKNOWN)
    {
      event_add (config->retry_timer, &delay);
      return;
    }
  log_info ("Proposal of the configuration folder answered. number=%" PRIu64
            " answer=%s detail=\"%s\"",
            config->proposal->number, error_name (kind),
            detail != NULL ? detail : "");
  TALLOC_FREE (config->proposal);
}

static void
send_proposal (entry_config_t *config)
{
  if (config->is_proposing || config->proposal == NULL)
    return;
  config->is_proposing = true;
  config->is_replaced = false;
  entry_control_propose (config->options.client, config->proposal,
                         config->options.instance, on_proposed, config);
}

static void
on_retry_timer (evutil_socket_t fd, short what, void *arg)
{
  send_proposal (arg);
}

void
entry_config_propose (entry_config_t *config, const Lwm__Config *content)
{
  if (content->number == 0)
    {
      log_error ("Configuration folder has no number to propose.");
      return;
    }
  talloc_free (config->proposal);
  config->proposal = message_copy (config, &content->base);
  config->is_replaced = config->is_proposing;
  send_proposal (config);
}

static int
free_config (entry_config_t *config)
{
  event_free (config->retry_timer);
  return 0;
}

static double
read_is_watching (void *context)
{
  return ((entry_config_t *)context)->watcher != NULL;
}

entry_config_t *
entry_config_new (void *parent, const entry_config_options_t *options)
{
  entry_config_t *config = talloc_zero (parent, entry_config_t);

  config->options = *options;
  config->retry_timer
      = event_new (options->base, -1, 0, on_retry_timer, config);
  talloc_set_destructor (config, free_config);
  metrics_gauge_read (options->metrics, "lwm_control_watching",
                      "Whether the control group tells this instance of new "
                      "revisions.",
                      NULL, read_is_watching, config);
  entry_config_update (config);
  return config;
}
