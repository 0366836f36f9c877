#include "revision-fetch.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define LOG_PART "revision"
#include "logging.h"

#define RETRY_INTERVAL_MS 700
/* Unanswered requests before a fetch is abandoned. Only another call of
 * revision_fetch_start(), after the revision was announced again, restarts it.
 */
#define MAX_ATTEMPTS 10

struct revision_fetch
{
  revision_fetch_options_t options;
  GRand *rand;
  uint64_t number; /* number of the revision being fetched, 0 for none */
  char digest[CONFIG_DIGEST_SIZE];
  GByteArray *data; /* parts of the revision received so far */
  uint32_t total_bytes;
  uint64_t next_request_ms;
  uint32_t attempts;
};

static int
free_fetch (revision_fetch_t *fetch)
{
  g_byte_array_free (fetch->data, TRUE);
  g_rand_free (fetch->rand);
  return 0;
}

revision_fetch_t *
revision_fetch_new (void *parent, const revision_fetch_options_t *options)
{
  revision_fetch_t *fetch = talloc_zero (parent, revision_fetch_t);

  fetch->options = *options;
  fetch->rand = g_rand_new_with_seed ((guint32)options->seed);
  fetch->data = g_byte_array_new ();
  talloc_set_destructor (fetch, free_fetch);
  return fetch;
}

static void
reset_fetch (revision_fetch_t *fetch)
{
  fetch->number = 0;
  g_byte_array_set_size (fetch->data, 0);
}

void
revision_fetch_start (revision_fetch_t *fetch,
                      uint64_t number,
                      const char *digest,
                      uint64_t now_ms)
{
  if (number <= fetch->number)
    return;
  reset_fetch (fetch);
  fetch->number = number;
  g_strlcpy (fetch->digest, digest, sizeof fetch->digest);
  fetch->attempts = 0;
  fetch->next_request_ms = now_ms;
  if (fetch->options.jitter_ms > 0)
    fetch->next_request_ms += (uint64_t)g_rand_int_range (
        fetch->rand, 0, (gint32)fetch->options.jitter_ms);
}

uint64_t
revision_fetch_number (const revision_fetch_t *fetch)
{
  return fetch->number;
}

static void
send_request (revision_fetch_t *fetch, uint64_t now_ms)
{
  Lwm__Revision revision = LWM__REVISION__INIT;
  Lwm__RevisionPart request = LWM__REVISION_PART__INIT;

  revision.number = fetch->number;
  revision.digest = fetch->digest;
  request.revision = &revision;
  request.offset_bytes = fetch->data->len;
  fetch->next_request_ms = now_ms + RETRY_INTERVAL_MS;
  fetch->options.ask (&request, fetch->options.context);
}

static void
complete_fetch (revision_fetch_t *fetch)
{
  char digest[CONFIG_DIGEST_SIZE] = "";
  Lwm__Config *config
      = config_unpack (fetch, fetch->data->data, fetch->data->len);
  bool is_valid = config != NULL && config->number == fetch->number;

  if (is_valid)
    config_digest (config, digest);
  is_valid = is_valid && strcmp (digest, fetch->digest) == 0;
  if (!is_valid)
    log_error (
        "Fetched revision does not match its announcement. number=%" PRIu64
        " digest=%s",
        fetch->number, fetch->digest);
  reset_fetch (fetch);
  if (is_valid)
    fetch->options.done (config, fetch->options.context);
  talloc_free (config);
}

void
revision_fetch_receive (revision_fetch_t *fetch,
                        const Lwm__RevisionPart *part,
                        uint64_t now_ms)
{
  if (fetch->number == 0 || part->revision == NULL
      || part->revision->number != fetch->number
      || strcmp (part->revision->digest, fetch->digest) != 0
      || part->offset_bytes != fetch->data->len || part->data.len == 0
      || part->total_bytes > CONFIG_MAX_BYTES
      || part->data.len > part->total_bytes - part->offset_bytes)
    return;
  g_byte_array_append (fetch->data, part->data.data, (guint)part->data.len);
  fetch->attempts = 0;
  if (fetch->data->len == part->total_bytes)
    complete_fetch (fetch);
  else
    send_request (fetch, now_ms);
}

void
revision_fetch_tick (revision_fetch_t *fetch, uint64_t now_ms)
{
  if (fetch->number == 0 || now_ms < fetch->next_request_ms)
    return;
  if (fetch->attempts++ >= MAX_ATTEMPTS)
    reset_fetch (fetch);
  else
    send_request (fetch, now_ms);
}
