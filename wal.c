#include "wal.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"
#include "file.h"
#include "frame.h"

#define LOG_NAME       "log"
#define FIRST_SEQUENCE 1
#define SECTOR_BYTES   512

struct wal
{
  char *folder;
  char *path;
  int fd;
  uint64_t sequence; /* sequence of the next frame */
  uint64_t size_bytes;
  uint64_t cut_bytes;
};

static uint8_t *
encode_batch (void *parent,
              const Lwm__ControlBatch *batch,
              uint64_t sequence,
              size_t *size_bytes)
{
  size_t payload_bytes = lwm__control_batch__get_packed_size (batch);
  uint8_t *payload = talloc_size (parent, payload_bytes + 1);
  uint8_t *data;

  if (payload_bytes > FRAME_MAX_PAYLOAD_BYTES)
    die ("log batch of %zu bytes is too large", payload_bytes);
  lwm__control_batch__pack (batch, payload);
  data = frame_encode (parent, sequence, payload, payload_bytes, size_bytes);
  talloc_free (payload);
  return data;
}

bool
wal_create (const char *folder, const Lwm__ControlBatch *first)
{
  size_t size_bytes;
  uint8_t *data = encode_batch (NULL, first, FIRST_SEQUENCE, &size_bytes);
  bool is_made = file_replace (folder, LOG_NAME, data, size_bytes, "rewrite");

  talloc_free (data);
  return is_made;
}

bool
wal_exists (const char *folder)
{
  char *path = talloc_asprintf (NULL, "%s/" LOG_NAME, folder);
  bool exists = access (path, F_OK) == 0;

  talloc_free (path);
  return exists;
}

static bool
is_all_zero (const uint8_t *data, size_t from, size_t to)
{
  while (from < to && data[from] == 0)
    from++;
  return from == to;
}

/** Tells whether a sector, or its part within the range, was never written. */
static bool
has_unwritten_sector (const uint8_t *data, size_t from, size_t to)
{
  while (from < to)
    {
      size_t end = (from / SECTOR_BYTES + 1) * SECTOR_BYTES;

      end = end < to ? end : to;
      if (is_all_zero (data, from, end))
        return true;
      from = end;
    }
  return false;
}

/** Tells whether the bad frame at @a offset is an interrupted last write. */
static bool
is_torn_tail (const uint8_t *data,
              size_t size,
              size_t offset,
              frame_result_t result,
              const frame_t *frame)
{
  if (frame_find (data, size, offset) != SIZE_MAX)
    return false;
  if (result == FRAME_TRUNCATED)
    return true;
  /* A header in an unwritten sector gives no frame length, so this checks the
   * rest of the file. */
  if (frame->size_bytes == 0)
    return has_unwritten_sector (data, offset, size);
  return offset + frame->size_bytes == size
         && has_unwritten_sector (data, offset, size);
}

static bool
deliver_batch (const frame_t *frame, wal_batch_cb_t on_batch, void *context)
{
  Lwm__ControlBatch *batch
      = lwm__control_batch__unpack (NULL, frame->payload_bytes, frame->payload);

  if (batch == NULL)
    return false;
  on_batch (batch, context);
  lwm__control_batch__free_unpacked (batch, NULL);
  return true;
}

/** Reads all frames. Returns the offset at which they end, or SIZE_MAX when the
 * file is damaged. */
static size_t
read_frames (wal_t *wal,
             const uint8_t *data,
             size_t size,
             wal_batch_cb_t on_batch,
             void *context,
             char **why)
{
  size_t offset = 0;

  while (offset < size)
    {
      frame_t frame;
      frame_result_t result
          = frame_decode (data + offset, size - offset, &frame);

      if (result != FRAME_OK && offset > 0
          && is_torn_tail (data, size, offset, result, &frame))
        break;
      if (result != FRAME_OK || frame.sequence != wal->sequence
          || !deliver_batch (&frame, on_batch, context))
        {
          *why = talloc_asprintf (talloc_parent (wal),
                                  "log '%s' is damaged at offset %zu",
                                  wal->path, offset);
          return SIZE_MAX;
        }
      wal->sequence++;
      offset += frame.size_bytes;
    }
  return offset;
}

static int
free_wal (wal_t *wal)
{
  if (wal->fd >= 0)
    close (wal->fd);
  return 0;
}

static void
open_for_append (wal_t *wal)
{
  off_t end;

  wal->fd = open (wal->path, O_WRONLY | O_APPEND | O_CLOEXEC);
  if (wal->fd < 0 || (end = lseek (wal->fd, 0, SEEK_END)) < 0)
    die ("cannot open '%s': %s", wal->path, strerror (errno));
  wal->size_bytes = (uint64_t)end;
}

static void
truncate_tail (wal_t *wal, size_t size, size_t end)
{
  wal->cut_bytes = size - end;
  if (wal->cut_bytes == 0)
    return;
  if (ftruncate (wal->fd, (off_t)end) != 0 || fsync (wal->fd) != 0)
    die ("cannot cut '%s': %s", wal->path, strerror (errno));
  wal->size_bytes = end;
}

wal_t *
wal_open (void *parent,
          const char *folder,
          wal_batch_cb_t on_batch,
          void *context,
          char **why)
{
  wal_t *wal = talloc_zero (parent, wal_t);
  size_t size = 0;
  size_t end;
  uint8_t *data;

  wal->fd = -1;
  wal->sequence = FIRST_SEQUENCE;
  wal->folder = talloc_strdup (wal, folder);
  wal->path = talloc_asprintf (wal, "%s/" LOG_NAME, folder);
  talloc_set_destructor (wal, free_wal);
  data = file_read (wal, wal->path, &size);
  if (data == NULL)
    {
      *why = talloc_asprintf (parent, "log '%s' is missing", wal->path);
      talloc_free (wal);
      return NULL;
    }
  end = read_frames (wal, data, size, on_batch, context, why);
  talloc_free (data);
  if (end == SIZE_MAX)
    {
      talloc_free (wal);
      return NULL;
    }
  open_for_append (wal);
  truncate_tail (wal, size, end);
  return wal;
}

/** Truncates the file to its size before a batch that was possibly written only
 * in part. */
static void
undo_append (wal_t *wal)
{
  if (ftruncate (wal->fd, (off_t)wal->size_bytes) != 0)
    die ("cannot cut '%s': %s", wal->path, strerror (errno));
}

bool
wal_append (wal_t *wal, const Lwm__ControlBatch *batch)
{
  size_t size_bytes;
  uint8_t *data = encode_batch (wal, batch, wal->sequence, &size_bytes);
  bool is_written = file_write (wal->fd, wal->path, data, size_bytes, "log");

  talloc_free (data);
  if (!is_written)
    {
      undo_append (wal);
      return false;
    }
  file_sync (wal->fd, wal->path, "log");
  wal->sequence++;
  wal->size_bytes += size_bytes;
  return true;
}

bool
wal_rewrite (wal_t *wal, const Lwm__ControlBatch *first)
{
  if (!wal_create (wal->folder, first))
    return false;
  close (wal->fd);
  wal->sequence = FIRST_SEQUENCE + 1;
  open_for_append (wal);
  return true;
}

uint64_t
wal_cut_bytes (const wal_t *wal)
{
  return wal->cut_bytes;
}
