#include "snapshot.h"

#include <talloc.h>

#include "file.h"
#include "frame.h"

#define SNAPSHOT_NAME "snapshot"

uint8_t *
snapshot_encode (void *parent,
                 const Lwm__ControlSnapshot *snapshot,
                 size_t *size_bytes)
{
  size_t payload_bytes = lwm__control_snapshot__get_packed_size (snapshot);
  uint8_t *payload = talloc_size (parent, payload_bytes + 1);
  uint8_t *data;

  lwm__control_snapshot__pack (snapshot, payload);
  data = frame_encode (parent, snapshot->index, payload, payload_bytes,
                       size_bytes);
  talloc_free (payload);
  return data;
}

Lwm__ControlSnapshot *
snapshot_decode (const uint8_t *data, size_t size_bytes)
{
  frame_t frame;
  Lwm__ControlSnapshot *snapshot;

  if (frame_decode (data, size_bytes, &frame) != FRAME_OK
      || frame.size_bytes != size_bytes)
    return NULL;
  snapshot = lwm__control_snapshot__unpack (NULL, frame.payload_bytes,
                                            frame.payload);
  if (snapshot != NULL
      && (snapshot->state == NULL || snapshot->membership == NULL))
    {
      lwm__control_snapshot__free_unpacked (snapshot, NULL);
      return NULL;
    }
  return snapshot;
}

bool
snapshot_write (const char *folder, const uint8_t *data, size_t size_bytes)
{
  return file_replace (folder, SNAPSHOT_NAME, data, size_bytes, "snapshot");
}

uint8_t *
snapshot_read (void *parent, const char *folder, size_t *size_bytes)
{
  char *path = talloc_asprintf (parent, "%s/" SNAPSHOT_NAME, folder);
  uint8_t *data = file_read (parent, path, size_bytes);

  talloc_free (path);
  return data;
}
