/**
 * @file hand_over.h
 * @brief When a host gives up the targets that it owns, as it does not reach
 *        them, and when it owns targets again.
 *
 * A host that is cut off can neither send orders nor read reports, while other
 * hosts could. It takes part again only after it has reached the targets for
 * some time: each change of the owners costs all hosts a pause of their
 * orders.
 *
 * The module does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_HAND_OVER_H
#define SKY_DECIDE_HAND_OVER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised: the host owns targets. */
typedef struct {
    bool is_away;
    uint64_t cut_off_since_ms; /**< while not away; 0: not cut off */
    uint64_t reached_since_ms; /**< while away; 0: not reached */
} sky_hand_over_t;

/** What this host observes of all services that run models. */
typedef struct {
    bool is_cut_off; /**< from one of them, which another host reaches */
    bool is_doubted; /**< it does not hear from one of them */
} sky_hand_over_input_t;

/** @return whether the host is to own no targets from now on. */
bool SkyHandOver_Update(sky_hand_over_t *hand_over,
                        const sky_hand_over_input_t *input, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
