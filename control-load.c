#include "control-load.h"

#include <sys/param.h>

#include "metric.h"
#define LOG_PART "control"
#include "logging.h"

/** Shortest time between two lines. */
#define MIN_INTERVAL_MS 2000
/** Messages, received and sent, since the last line that are worth a line. */
#define BUSY_MESSAGES 2000
/** Time between two ticks that is worth a line. */
#define HELD_UP_MS 500

static void
log_load (control_load_t *load,
          const control_load_totals_t *totals,
          size_t watchers,
          uint64_t now_ms)
{
  const control_load_totals_t *before = &load->logged;
  uint64_t used_ms = (uint64_t)(process_cpu_seconds () * 1000);

  log_info ("Load of this instance. for_ms=%ju cpu_ms=%ju held_up_ms=%ju "
            "messages_in=%ju bytes_in=%ju watches=%ju messages_out=%ju "
            "bytes_out=%ju dropped=%ju watchers=%zu resident_kb=%ju",
            (uintmax_t)(now_ms - load->logged_ms),
            (uintmax_t)(used_ms - load->logged_cpu_ms),
            (uintmax_t)load->longest_gap_ms,
            (uintmax_t)(totals->messages_in - before->messages_in),
            (uintmax_t)(totals->bytes_in - before->bytes_in),
            (uintmax_t)(totals->watches - before->watches),
            (uintmax_t)(totals->messages_out - before->messages_out),
            (uintmax_t)(totals->bytes_out - before->bytes_out),
            (uintmax_t)(totals->dropped - before->dropped), watchers,
            (uintmax_t)(process_resident_bytes () / 1024));
  load->logged = *totals;
  load->logged_ms = now_ms;
  load->logged_cpu_ms = used_ms;
  load->longest_gap_ms = 0;
}

void
control_load_tick (control_load_t *load,
                   const control_load_totals_t *totals,
                   size_t watchers,
                   uint64_t now_ms)
{
  uint64_t messages = totals->messages_in + totals->messages_out
                      - load->logged.messages_in - load->logged.messages_out;

  if (load->ticked_ms == 0)
    load->ticked_ms = load->logged_ms = now_ms;
  load->longest_gap_ms = MAX (load->longest_gap_ms, now_ms - load->ticked_ms);
  load->ticked_ms = now_ms;
  if (now_ms - load->logged_ms < MIN_INTERVAL_MS)
    return;
  if (load->longest_gap_ms >= HELD_UP_MS || messages >= BUSY_MESSAGES)
    log_load (load, totals, watchers, now_ms);
}
