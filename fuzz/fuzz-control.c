/* libFuzzer target for the data that the control group reads from disk and
 * network: frames, batches, snapshots and messages. The first byte selects the
 * decoder. */
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"
#include "frame.h"
#include "members.h"
#include "snapshot.h"

#include <talloc.h>

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
read_frames (const uint8_t *data, size_t size)
{
  size_t offset = 0;
  frame_t frame;

  while (offset < size
         && frame_decode (data + offset, size - offset, &frame) == FRAME_OK)
    {
      Lwm__ControlBatch *batch = lwm__control_batch__unpack (
          NULL, frame.payload_bytes, frame.payload);

      if (batch != NULL)
        lwm__control_batch__free_unpacked (batch, NULL);
      offset += frame.size_bytes;
    }
  frame_find (data, size, offset);
}

static void
read_message (const uint8_t *data, size_t size)
{
  Lwm__ControlMessage *message
      = lwm__control_message__unpack (NULL, size, data);

  if (message != NULL)
    lwm__control_message__free_unpacked (message, NULL);
}

static void
read_members (const uint8_t *data, size_t size)
{
  void *parent = talloc_new (NULL);
  Lwm__ControlMembership *members = membership_unpack (parent, data, size);

  if (members != NULL)
    membership_pack (parent, members, &size);
  talloc_free (parent);
}

static void
read_snapshot (const uint8_t *data, size_t size)
{
  Lwm__ControlSnapshot *snapshot = snapshot_decode (data, size);

  if (snapshot != NULL)
    lwm__control_snapshot__free_unpacked (snapshot, NULL);
}

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  switch (data[0] % 4)
    {
    case 0:
      read_frames (data + 1, size - 1);
      break;
    case 1:
      read_message (data + 1, size - 1);
      break;
    case 2:
      read_members (data + 1, size - 1);
      break;
    default:
      read_snapshot (data + 1, size - 1);
    }
  return 0;
}
