#include "request-losses.h"

void
request_losses_clear (request_losses_t *losses)
{
  losses->split_count = 0;
  losses->sum = 0;
}

/** Returns the entry of a request, a new one if there is none; NULL when there
 * is no room. */
static request_loss_t *
find_entry (request_losses_t *losses, uint64_t request)
{
  request_loss_t *entry;

  for (uint32_t i = 0; i < losses->split_count; i++)
    if (losses->split[i].request == request)
      return &losses->split[i];
  if (losses->split_count >= REQUEST_LOSSES_MAX)
    return NULL;
  entry = &losses->split[losses->split_count++];
  *entry = (request_loss_t){ .request = request };
  return entry;
}

void
request_losses_add (request_losses_t *losses,
                    const upstream_job_t *job,
                    double loss)
{
  request_loss_t *entry = NULL;

  if (loss <= 0)
    return;
  if (upstream_job_is_split (job))
    entry = find_entry (losses, job->request);
  if (entry == NULL)
    losses->sum += loss;
  else if (loss > entry->loss)
    {
      losses->sum += loss - entry->loss;
      entry->loss = loss;
    }
}
