/**
 * @file tunnel-frames.h
 * What a relay (tunnel-server.h) sends to the instance that asked for a tunnel:
 * the upstream's bytes in frames, and at the end of its data a message that
 * says so. The end of a connection proves nothing, as the kernel ends the
 * connections of a process that is killed as it ends others. A process that is
 * gone cannot send the message.
 *
 * A frame is its size in bytes (32 bits, big endian) and the bytes. Sizes that
 * no frame has stand for the two ends, and for a relay that is going to stop:
 * what was asked before is still answered.
 *
 * The instance asks for frames with TUNNEL_FRAMES_FIELD in its CONNECT, and the
 * relay sends them if it has answered with the same field. Earlier versions
 * neither ask nor answer so: the bytes are passed on as they are.
 */
#ifndef TUNNEL_FRAMES_H
#define TUNNEL_FRAMES_H

#include <stdbool.h>
#include <stdint.h>

struct evbuffer;

#define TUNNEL_FRAMES_FIELD "Tunnel-Frames: 1"

/** What a receiver knows of the upstream's data. */
typedef enum
{
  TUNNEL_FRAMES_MORE,
  TUNNEL_FRAMES_END,    /**< it has ended in order */
  TUNNEL_FRAMES_BROKEN, /**< the upstream broke its connection off */
} tunnel_frames_state_t;

/** Receiver of frames; all zero at the begin of the connection. */
typedef struct
{
  uint32_t left_bytes; /* of the frame that is being received */
  tunnel_frames_state_t state;
  bool is_stopping; /* the relay is to get no further request */
} tunnel_frames_t;

/** Moves all bytes of @a data to @a out, as one frame. */
void tunnel_frames_write (struct evbuffer *out, struct evbuffer *data);

/** Adds the message of an end. */
void tunnel_frames_write_end (struct evbuffer *out,
                              tunnel_frames_state_t state);

/** Adds the message that the relay is going to stop. */
void tunnel_frames_write_stop (struct evbuffer *out);

/** Moves the bytes of frames from @a in to @a data, as far as they have come.
 * Nothing is read behind an end. */
tunnel_frames_state_t tunnel_frames_read (tunnel_frames_t *frames,
                                          struct evbuffer *in,
                                          struct evbuffer *data);

#endif
