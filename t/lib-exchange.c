#include "lib-exchange.h"

static void
on_head (exchange_t *exchange, void *context)
{
}

static void
on_body (exchange_t *exchange,
         const uint8_t *data,
         size_t size_bytes,
         void *context)
{
  exchange_result_t *answer = context;

  g_string_append_len (answer->body, (const char *)data, (gssize)size_bytes);
}

static void
on_end (exchange_t *exchange, void *context)
{
  ((exchange_result_t *)context)->result = RESULT_END;
}

static void
on_failed (exchange_t *exchange, exchange_failure_t how, void *context)
{
  exchange_result_t *answer = context;

  answer->result = RESULT_FAILED;
  answer->failure = how;
  answer->was_closed = exchange_was_closed (exchange);
}

const exchange_callbacks_t exchange_result_callbacks
    = { .on_head = on_head,
        .on_body = on_body,
        .on_end = on_end,
        .on_failed = on_failed };

void
exchange_result_reset (exchange_result_t *answer)
{
  answer->result = RESULT_NONE;
  g_string_truncate (answer->body, 0);
}
