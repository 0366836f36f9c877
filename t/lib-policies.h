/**
 * @file lib-policies.h
 * Simple policies of placement, to compare the product's with. They know what
 * it knows of engines, and send each prompt whole to one of them.
 */
#ifndef LIB_POLICIES_H
#define LIB_POLICIES_H

#include "upstream-choice.h"

/** A policy: where a request goes. */
typedef choice_t (*policy_t) (const upstream_set_t *set,
                              const choice_request_t *request,
                              uint64_t now_ms);

/** The fewest requests, any engine, and the better of two. */
choice_t policy_least (const upstream_set_t *set,
                       const choice_request_t *request,
                       uint64_t now_ms);
choice_t policy_random (const upstream_set_t *set,
                        const choice_request_t *request,
                        uint64_t now_ms);
choice_t policy_two_choices (const upstream_set_t *set,
                             const choice_request_t *request,
                             uint64_t now_ms);

#endif
