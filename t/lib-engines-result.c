#include "lib-engines.h"

void
engines_result_clear (engines_result_t *result)
{
  g_array_free (result->decide_ms, TRUE);
  result->decide_ms = NULL;
}

double
engines_earned_share (const engines_tally_t *tally)
{
  return tally->offered > 0 ? tally->earned / tally->offered : 1;
}

double
engines_served_share (const engines_tally_t *tally)
{
  return tally->asked > 0
             ? (tally->in_time + tally->late) / (double)tally->asked
             : 1;
}

void
engines_add_tally (engines_tally_t *sum, const engines_tally_t *tally)
{
  sum->asked += tally->asked;
  sum->in_time += tally->in_time;
  sum->late += tally->late;
  sum->refused += tally->refused;
  sum->failed += tally->failed;
  sum->offered += tally->offered;
  sum->earned += tally->earned;
}

static void
print_tally (const char *name, const engines_tally_t *tally)
{
  g_test_message ("%-10s asked=%u in_time=%u late=%u refused=%u failed=%u "
                  "earned=%.3f of %.0f",
                  name, tally->asked, tally->in_time, tally->late,
                  tally->refused, tally->failed, engines_earned_share (tally),
                  tally->offered);
}

void
engines_print (const engines_load_t *load, const engines_result_t *result)
{
  for (uint32_t i = 0; i < load->kind_count; i++)
    print_tally (load->kinds[i].name, &result->kinds[i]);
  for (uint32_t i = 0; i < ENGINES_TENTHS; i++)
    print_tally ("tenth", &result->tenths[load->kind_count - 1][i]);
  print_tally ("all", &result->all);
}
