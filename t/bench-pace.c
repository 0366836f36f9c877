/*
 * Compares ways of limiting the open requests at upstreams that have just
 * started or returned, on simulated upstreams.
 *
 * usage: bench-pace [SEEDS]
 */
#include <stdio.h>
#include <stdlib.h>

#include "lib-pace.h"

#define DEFAULT_SEEDS 5

static void
print_row (pace_case_t kind, pace_policy_t policy, uint32_t seeds)
{
  pace_result_t sum = { 0 };

  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      pace_result_t result = pace_play (kind, policy, seed);

      sum.requests += result.requests;
      sum.late += result.late;
      sum.returned += result.returned;
      sum.returned_bad += result.returned_bad;
      sum.failed += result.failed;
      sum.errors += result.errors;
      sum.used += result.used / seeds;
      sum.most_over += result.most_over / seeds;
    }
  printf ("| %s | %s | %.2f | %.2f | %u | %u | %.1f | %u | %.1f |\n",
          pace_case_name (kind), pace_policy_name (policy),
          100.0 * sum.late / sum.requests, 100.0 * sum.failed / sum.requests,
          sum.errors / seeds, sum.returned / seeds,
          100.0 * sum.returned_bad / (sum.returned > 0 ? sum.returned : 1),
          (unsigned)(100 * sum.used), sum.most_over);
}

int
main (int argc, char **argv)
{
  int given = argc > 1 ? atoi (argv[1]) : 0;
  uint32_t seeds = given > 0 ? (uint32_t)given : DEFAULT_SEEDS;

  printf ("| case | policy | late %% | failed %% | errors | sent to returned "
          "ones | late or failed there %% | used %% | most open over capacity "
          "|\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (int kind = 0; kind < PACE_CASE_COUNT; kind++)
    for (int policy = 0; policy < PACE_POLICY_COUNT; policy++)
      print_row ((pace_case_t)kind, (pace_policy_t)policy, seeds);
  return 0;
}
