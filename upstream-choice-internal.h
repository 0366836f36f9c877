/**
 * @file upstream-choice-internal.h
 * Functions shared by upstream-choice.c (plain services and common code) and
 * engine-choice.c (model engines). No other file includes this header.
 */
#ifndef UPSTREAM_CHOICE_INTERNAL_H
#define UPSTREAM_CHOICE_INTERNAL_H

#include "upstream-choice.h"

/**
 * Returns whether @a member may take the request, or a part of it.
 * @param any_usable accepts every usable upstream, for use when no trusted one
 * is left
 */
bool upstream_choice_is_candidate (const choice_request_t *request,
                                   const upstream_member_t *member,
                                   bool any_usable,
                                   uint64_t now_ms);

/**
 * Chooses among the engines of a service. The result is never CHOICE_SEND
 * without a member.
 */
choice_t engine_choose (const upstream_set_t *set,
                        const choice_request_t *request,
                        bool any_usable,
                        uint64_t now_ms);

/**
 * Returns whether the request is too large for the memory of any single engine
 * of the service.
 */
bool engine_choice_is_oversize (const choice_request_t *request);

#endif
