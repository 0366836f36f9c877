/**
 * @file lib-policies.h
 * Provides simple placement policies as a baseline for the product's policy.
 * They have the same knowledge of the engines, and send each prompt whole to
 * one engine.
 */
#ifndef LIB_POLICIES_H
#define LIB_POLICIES_H

#include "upstream-choice.h"

/** A placement policy: chooses the engine for a request. */
typedef choice_t (*policy_t) (const upstream_set_t *set,
                              const choice_request_t *request,
                              uint64_t now_ms);

/**
 * These policies choose the engine with the fewest requests, a random engine,
 * and the less loaded of two random engines.
 */
choice_t policy_fewest_requests (const upstream_set_t *set,
                                 const choice_request_t *request,
                                 uint64_t now_ms);
choice_t policy_random (const upstream_set_t *set,
                        const choice_request_t *request,
                        uint64_t now_ms);
choice_t policy_two_choices (const upstream_set_t *set,
                             const choice_request_t *request,
                             uint64_t now_ms);

#endif
