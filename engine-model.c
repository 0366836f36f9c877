#include "engine-model.h"

#define TOKENS_PER_CONTEXT_UNIT 1000.0
#define PAIRS_PER_MILLION       1e6

double
engine_prefill_ms (const engine_model_t *model, double tokens)
{
  double pairs = tokens * tokens / 2.0;

  if (tokens <= 0 || model->read_tokens_s <= 0)
    return 0;
  return tokens / model->read_tokens_s * 1000.0
         + pairs / PAIRS_PER_MILLION * model->read_pairs_ms;
}

double
engine_prefill_tail_ms (const engine_model_t *model,
                        double whole_tokens,
                        double tokens)
{
  if (tokens >= whole_tokens)
    return engine_prefill_ms (model, whole_tokens);
  return engine_prefill_ms (model, whole_tokens)
         - engine_prefill_ms (model, whole_tokens - tokens);
}

double
engine_pass_tokens (const engine_model_t *model)
{
  return (double)model->steps_per_pass * model->read_step_tokens;
}

double
engine_pass_decode_ms (const engine_model_t *model,
                       uint32_t decoding,
                       double context_tokens)
{
  return model->steps_per_pass
         * (model->step_ms + decoding * model->step_stream_ms
            + context_tokens / TOKENS_PER_CONTEXT_UNIT
                  * model->step_context_ms);
}

double
engine_pass_prefill_ms (const engine_model_t *model, double tokens)
{
  return engine_prefill_tail_ms (model, tokens, engine_pass_tokens (model));
}
