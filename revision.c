#include "revision.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>
#include <xxhash.h>

#include "base.h"
#define LOG_PART "revision"
#include "logging.h"

#define FILE_NAME  "revision"
#define FILE_MAGIC "LWMREV1\n"
#define MAGIC_SIZE 8

/** Header of the saved file; the packed configuration follows it. */
typedef struct
{
  char magic[MAGIC_SIZE];
  uint64_t size_bytes;
  uint64_t checksum; /* XXH3 of the packed configuration */
} file_header_t;

struct revision
{
  revision_options_t options;
  char *path;
  Lwm__Config *config;
  char digest[CONFIG_DIGEST_SIZE];
  uint8_t *packed;
  size_t packed_bytes;
  metric_t *number_gauge;
  metric_t *conflicts;
  metric_t *stale;
};

static void
set_in_force (revision_t *revision, Lwm__Config *config, const char *digest)
{
  talloc_free (revision->packed);
  revision->config = talloc_steal (revision, config);
  snprintf (revision->digest, sizeof revision->digest, "%s", digest);
  revision->packed = config_pack (revision, config, &revision->packed_bytes);
  metric_set (revision->number_gauge, (double)config->number);
}

static Lwm__Config *
parse_file (void *parent, const char *text, size_t size_bytes)
{
  file_header_t header;
  const uint8_t *body = (const uint8_t *)text + sizeof header;

  if (size_bytes < sizeof header)
    return NULL;
  memcpy (&header, text, sizeof header);
  if (memcmp (header.magic, FILE_MAGIC, MAGIC_SIZE) != 0
      || header.size_bytes != size_bytes - sizeof header
      || header.checksum != XXH3_64bits (body, header.size_bytes))
    return NULL;
  return config_unpack (parent, body, header.size_bytes);
}

/** Loads the saved revision, if there is one. Returns false when the file
 * cannot be read or holds no valid revision. */
static bool
load_saved (revision_t *revision)
{
  char digest[CONFIG_DIGEST_SIZE];
  char *text = NULL;
  gsize size_bytes = 0;
  GError *error = NULL;
  Lwm__Config *config;

  if (!g_file_get_contents (revision->path, &text, &size_bytes, &error))
    {
      bool absent = g_error_matches (error, G_FILE_ERROR, G_FILE_ERROR_NOENT);

      if (!absent)
        print_error ("cannot read '%s': %s", revision->path, error->message);
      g_error_free (error);
      return absent;
    }
  config = parse_file (revision, text, size_bytes);
  g_free (text);
  if (config == NULL)
    {
      print_error (
          "saved revision '%s' is damaged; remove the file to fetch the "
          "configuration from other instances",
          revision->path);
      return false;
    }
  config_digest (config, digest);
  set_in_force (revision, config, digest);
  log_info ("Saved revision loaded. number=%" PRIu64 " digest=%s",
            config->number, digest);
  return true;
}

revision_t *
revision_new (void *parent, const revision_options_t *options)
{
  revision_t *revision = talloc_zero (parent, revision_t);

  revision->options = *options;
  revision->number_gauge
      = metrics_gauge (options->metrics, "lwm_config_number",
                       "Configuration number in force, 0 for none.", NULL);
  revision->conflicts = metrics_counter (
      options->metrics, "lwm_config_conflicts_total",
      "Revisions seen with the number in force and other content.", NULL);
  revision->stale = metrics_counter (
      options->metrics, "lwm_config_stale_total",
      "Revisions offered with a number below the one in force.", NULL);
  if (options->data_folder != NULL && options->data_folder[0] != '\0')
    {
      revision->path
          = talloc_asprintf (revision, "%s/" FILE_NAME, options->data_folder);
      if (!load_saved (revision))
        TALLOC_FREE (revision);
    }
  return revision;
}

static bool
write_all (int fd, const void *data, size_t size_bytes)
{
  const char *position = data;

  while (size_bytes > 0)
    {
      ssize_t written = write (fd, position, size_bytes);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return false;
      position += written;
      size_bytes -= (size_t)written;
    }
  return true;
}

static bool
sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool synced = fd >= 0 && fsync (fd) == 0;

  if (fd >= 0)
    close (fd);
  return synced;
}

/** Writes a temporary file in the data folder, syncs it, renames it into place
 * and syncs the folder, so that the rename is durable too. */
static bool
save_revision (const revision_t *revision, const Lwm__Config *config)
{
  char *temp_path = talloc_asprintf (NULL, "%s.new", revision->path);
  size_t size_bytes;
  uint8_t *packed = config_pack (temp_path, config, &size_bytes);
  file_header_t header = { .size_bytes = size_bytes,
                           .checksum = XXH3_64bits (packed, size_bytes) };
  int fd = open (temp_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool saved = false;

  if (fd < 0)
    goto out;
  memcpy (header.magic, FILE_MAGIC, MAGIC_SIZE);
  saved = write_all (fd, &header, sizeof header)
          && write_all (fd, packed, size_bytes) && fsync (fd) == 0;
  close (fd);
  saved = saved && rename (temp_path, revision->path) == 0
          && sync_folder (revision->options.data_folder);
out:
  if (!saved)
    log_error ("Cannot save the revision. number=%" PRIu64
               " file=%s error=\"%s\"",
               config->number, revision->path, strerror (errno));
  talloc_free (temp_path);
  return saved;
}

static revision_result_t
compare_revision (const revision_t *revision,
                  const Lwm__Config *config,
                  const char *digest)
{
  uint64_t number = revision_number (revision);

  if (config->number == 0)
    return REVISION_INVALID;
  if (config->number < number)
    return REVISION_STALE;
  if (config->number > number)
    return REVISION_APPLIED;
  return strcmp (digest, revision->digest) == 0 ? REVISION_SAME
                                                : REVISION_CONFLICT;
}

void
revision_report_conflict (revision_t *revision,
                          const char *digest,
                          const char *source)
{
  metric_add (revision->conflicts, 1);
  log_error (
      "Revision has the number in force but other content. number=%" PRIu64
      " digest=%s other=%s source=%s",
      revision_number (revision), revision->digest, digest, source);
}

revision_result_t
revision_offer (revision_t *revision,
                const Lwm__Config *config,
                const char *source)
{
  char digest[CONFIG_DIGEST_SIZE];
  revision_result_t result;
  size_t size_bytes;
  uint8_t *packed;
  Lwm__Config *copy;
  Lwm__Config *previous = revision->config;

  config_digest (config, digest);
  result = compare_revision (revision, config, digest);
  if (result == REVISION_STALE)
    metric_add (revision->stale, 1);
  if (result == REVISION_CONFLICT)
    revision_report_conflict (revision, digest, source);
  if (result != REVISION_APPLIED)
    return result;
  if (revision->path != NULL && !save_revision (revision, config))
    return REVISION_SAVE_FAILED;
  packed = config_pack (NULL, config, &size_bytes);
  copy = config_unpack (revision, packed, size_bytes);
  talloc_free (packed);
  set_in_force (revision, copy, digest);
  log_info ("Revision in force. number=%" PRIu64 " digest=%s source=%s",
            copy->number, digest, source);
  revision->options.on_revision_applied (copy, revision->digest,
                                         revision->options.context);
  talloc_free (previous);
  return REVISION_APPLIED;
}

const Lwm__Config *
revision_config (const revision_t *revision)
{
  return revision->config;
}

uint64_t
revision_number (const revision_t *revision)
{
  return revision->config != NULL ? revision->config->number : 0;
}

const char *
revision_digest (const revision_t *revision)
{
  return revision->digest;
}

const uint8_t *
revision_packed (const revision_t *revision, size_t *size_bytes)
{
  *size_bytes = revision->packed_bytes;
  return revision->packed;
}
