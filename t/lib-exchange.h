/**
 * @file lib-exchange.h
 * Keeps the answer to a request of an exchange pool (exchange.h), for tests.
 */
#ifndef LIB_EXCHANGE_H
#define LIB_EXCHANGE_H

#include <glib.h>

#include "exchange.h"

typedef enum
{
  RESULT_NONE, /**< the answer has not ended */
  RESULT_END,
  RESULT_FAILED,
} result_t;

/** An answer; the context of exchange_result_callbacks. */
typedef struct
{
  result_t result;
  exchange_failure_t failure; /**< with RESULT_FAILED */
  bool was_closed;            /**< with RESULT_FAILED: exchange_was_closed() */
  GString *body;              /**< as far as it has come; made by the owner */
} exchange_result_t;

extern const exchange_callbacks_t exchange_result_callbacks;

/** Forgets the answer before. */
void exchange_result_reset (exchange_result_t *answer);

#endif
