#include "archive.h"

#include <event2/buffer.h>
#include <talloc.h>

#define DEFAULT_MAX_ANSWER_BYTES (64 * 1024 * 1024)
#define DEFAULT_MAX_REQUESTS     4096
#define BYTES_PER_MB             (1024u * 1024)
/** The part of the memory that kept answers may take, beside a third for what
 * clients make the process hold. */
#define MEMORY_SHARE 6

struct archive
{
  GHashTable *by_id;   /* id to request_t */
  GQueue *requests;    /* every request_t, oldest first */
  GQueue *with_answer; /* each request_t whose response is kept, oldest first */
  uint32_t answer_kept_ms;
  uint64_t answer_bytes;
  uint64_t max_answer_bytes;
  uint32_t max_requests;
};

static int
free_archive (archive_t *archive)
{
  g_hash_table_destroy (archive->by_id);
  g_queue_free (archive->requests);
  g_queue_free (archive->with_answer);
  return 0;
}

static double
read_answer_bytes (void *context)
{
  const archive_t *archive = context;

  return (double)archive->answer_bytes;
}

uint64_t
archive_share (uint32_t memory_mb)
{
  return MIN ((uint64_t)memory_mb * BYTES_PER_MB / MEMORY_SHARE,
              DEFAULT_MAX_ANSWER_BYTES);
}

archive_t *
archive_new (void *parent, const archive_options_t *options)
{
  archive_t *archive = talloc_zero (parent, archive_t);

  archive->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  archive->requests = g_queue_new ();
  archive->with_answer = g_queue_new ();
  archive->answer_kept_ms = options->answer_kept_ms;
  archive->max_answer_bytes = options->max_answer_bytes > 0
                                  ? options->max_answer_bytes
                                  : DEFAULT_MAX_ANSWER_BYTES;
  archive->max_requests = options->max_requests > 0 ? options->max_requests
                                                    : DEFAULT_MAX_REQUESTS;
  metrics_gauge_read (options->metrics, "lwm_kept_answer_bytes",
                      "bytes of finished answers kept", NULL, read_answer_bytes,
                      archive);
  talloc_set_destructor (archive, free_archive);
  return archive;
}

void
archive_set_answer_kept_ms (archive_t *archive, uint32_t answer_kept_ms)
{
  archive->answer_kept_ms = answer_kept_ms;
}

/** Returns the memory that the response of @a request takes. */
static uint64_t
answer_size_bytes (const request_t *request)
{
  uint64_t size = request->text->len + request->ends->len * sizeof (uint32_t);

  if (request->answer != NULL)
    size += evbuffer_get_length (request->answer);
  return size;
}

void
archive_add (archive_t *archive, request_t *request)
{
  talloc_steal (archive, request);
  g_hash_table_insert (archive->by_id, request->id, request);
  g_queue_push_tail (archive->requests, request);
  g_queue_push_tail (archive->with_answer, request);
  archive->answer_bytes += answer_size_bytes (request);
}

request_t *
archive_find (const archive_t *archive, const char *id)
{
  return g_hash_table_lookup (archive->by_id, id);
}

/** Returns whether a caller is still reading the response. */
static bool
has_listener (const request_t *request)
{
  return request->listener.context != NULL;
}

static bool
must_evict (const archive_t *archive, const request_t *request, uint64_t now_ms)
{
  return archive->answer_bytes > archive->max_answer_bytes
         || now_ms > request->ended_ms + archive->answer_kept_ms;
}

/* A caller that reads one answer slowly must not keep all newer ones. */
static void
evict_answers (archive_t *archive, uint64_t now_ms)
{
  GList *item = archive->with_answer->head;

  while (item != NULL && must_evict (archive, item->data, now_ms))
    {
      request_t *request = item->data;
      GList *next = item->next;

      if (!has_listener (request))
        {
          g_queue_delete_link (archive->with_answer, item);
          archive->answer_bytes -= answer_size_bytes (request);
          request_drop_answer (request);
        }
      item = next;
    }
}

void
archive_evict (archive_t *archive, uint64_t now_ms)
{
  request_t *request;

  evict_answers (archive, now_ms);
  while (g_queue_get_length (archive->requests) > archive->max_requests
         && (request = g_queue_peek_head (archive->requests)) != NULL
         && request->text_dropped)
    {
      g_queue_pop_head (archive->requests);
      g_hash_table_remove (archive->by_id, request->id);
      talloc_free (request);
    }
}
