#include "upstream.h"

static const char *const names[UPSTREAM_RESULT_COUNT] = {
  "done",      "not_connected", "busy",  "not_loaded", "leaving",   "refused",
  "duplicate", "no_stream",     "error", "broken",     "truncated", "crossed",
};

const char *
upstream_result_name (upstream_result_t result)
{
  return (unsigned)result < UPSTREAM_RESULT_COUNT ? names[result] : "?";
}

bool
upstream_result_not_run (upstream_result_t result)
{
  return result == UPSTREAM_NOT_CONNECTED || result == UPSTREAM_BUSY
         || result == UPSTREAM_NOT_LOADED || result == UPSTREAM_LEAVING
         || result == UPSTREAM_REFUSED;
}
